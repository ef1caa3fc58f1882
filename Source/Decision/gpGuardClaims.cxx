#include "gpGuardClaims.h"

#include <algorithm>
#include <utility>

#include "gpConfiguration.h"
#include "gpDecisionEvents.h"

namespace {

/// Pause before a source is asked for its claims again.
constexpr gpMillis kCopyRetry{ 100 };
/// Limit on the claims in one copy message.
constexpr std::size_t kCopyChunk = 500;

const char*
VerdictName(gpClaimVerdict aVerdict)
{
  static constexpr std::array kNames = {
    "granted",    "held",       "other_body", "stale_epoch",
    "behind_you", "not_holder", "abstains",
  };
  return kNames.at(static_cast<std::size_t>(aVerdict));
}

} // namespace

gpGuardClaims::gpGuardClaims(gpIncarnation aSelf, const gpLinkTable& aLinks)
  : self_(aSelf)
  , links_(aLinks)
  , logSilence_(gpClaimSettings{}.logSilence_)
  , table_(gpClaimSettings{}.retention_)
  , partitions_(aSelf)
{
}

void
gpGuardClaims::SetRetention(gpMillis aRetention, gpMillis aLogSilence)
{
  table_.SetRetention(aRetention);
  logSilence_ = aLogSilence;
}

void
gpGuardClaims::OnRoster(const gpRoster& aRoster,
                        bool aContiguous,
                        gpTime aNow,
                        gpEffects& aOut)
{
  partitions_.ChangeRoster(aRoster, service_, aContiguous, aNow);
  gpTimelineEvent event;
  event.kind_ = gpEventKind::RosterInForce;
  event.number_ = aRoster.epoch_.value_;
  aOut.Write(event);
  AskSources(aNow, aOut);
}

void
gpGuardClaims::OnGuardLink(gpTime aNow, gpEffects& aOut)
{
  AskSources(aNow, aOut);
}

void
gpGuardClaims::OnTime(gpTime aNow, gpEffects& aOut)
{
  table_.Expire(aNow);
  // A replica that lost contact with the log service may have granted claims
  // for logSilence_ after this guard had replaced it. This guard doesn't know
  // of those claims, so it abstains until they have expired too.
  const gpMillis abstention = table_.GetRetention() + logSilence_;
  partitions_.NoteRetention(abstention, aNow);
  AskSources(aNow, aOut);
}

void
gpGuardClaims::OnClaim(gpLinkId aLink,
                       const gpClaimRequest& aRequest,
                       gpTime aNow,
                       gpEffects& aOut)
{
  gpClaimReply reply;
  reply.verdict_ = Judge(aRequest.key_, aNow);
  if (aRequest.epoch_ < partitions_.GetEpoch()) {
    reply.verdict_ = gpClaimVerdict::StaleEpoch;
  } else if (aRequest.epoch_ > partitions_.GetEpoch()) {
    reply.verdict_ = gpClaimVerdict::BehindYou;
  } else if (reply.verdict_ == gpClaimVerdict::Granted) {
    reply = table_.Claim(aRequest, aNow);
  }
  reply.job_ = aRequest.claimant_.job_;
  reply.epoch_ = partitions_.GetEpoch();
  const bool granted = reply.verdict_ == gpClaimVerdict::Granted;
  gpTimelineEvent event =
    gpClaimEvent(granted ? gpEventKind::ClaimGranted : gpEventKind::ClaimDenied,
                 aRequest.key_,
                 aRequest.claimant_.job_);
  event.detail_ = VerdictName(reply.verdict_);
  aOut.Write(std::move(event));
  aOut.Send(aLink, std::move(reply));
}

void
gpGuardClaims::OnQuery(gpLinkId aLink,
                       const gpClaimQuery& aQuery,
                       gpTime aNow,
                       gpEffects& aOut)
{
  gpClaimReply reply;
  reply.verdict_ = Judge(aQuery.key_, aNow);
  if (reply.verdict_ == gpClaimVerdict::Granted) {
    reply = table_.FindClaimant(aQuery);
  }
  reply.job_ = aQuery.query_;
  reply.epoch_ = partitions_.GetEpoch();
  aOut.Send(aLink, std::move(reply));
}

void
gpGuardClaims::OnWithdraw(const gpClaimWithdraw& aWithdraw, gpEffects& aOut)
{
  table_.Withdraw(aWithdraw);
  aOut.Write(
    gpClaimEvent(gpEventKind::ClaimReleased, aWithdraw.key_, aWithdraw.job_));
}

void
gpGuardClaims::OnOutcome(const gpClaimOutcome& aOutcome)
{
  table_.SetOutcome(aOutcome);
}

void
gpGuardClaims::OnCopyRequest(gpLinkId aLink,
                             const gpCopyRequest& aRequest,
                             gpTime aNow,
                             gpEffects& aOut)
{
  gpCopyReply reply;
  reply.service_ = aRequest.service_;
  reply.partition_ = aRequest.partition_;
  reply.epoch_ = aRequest.epoch_;
  const bool known = aRequest.service_ == service_ &&
                     aRequest.partition_.value_ < kClaimPartitions;
  reply.verdict_ =
    known ? partitions_.JudgeCopy(aRequest) : gpCopyVerdict::NotComplete;
  if (reply.verdict_ != gpCopyVerdict::Copied) {
    aOut.Send(aLink, std::move(reply));
    return;
  }
  const std::vector<gpClaimRecord> records =
    table_.Export(aRequest.partition_, aNow);
  std::size_t begin = 0;
  do {
    const std::size_t end = std::min(begin + kCopyChunk, records.size());
    reply.records_.assign(records.begin() + static_cast<std::ptrdiff_t>(begin),
                          records.begin() + static_cast<std::ptrdiff_t>(end));
    reply.last_ = end == records.size();
    aOut.Send(aLink, reply);
    begin = end;
  } while (begin < records.size());
}

void
gpGuardClaims::OnCopyReply(gpLinkId aLink,
                           const gpCopyReply& aReply,
                           gpTime aNow,
                           gpEffects& aOut)
{
  const gpPeer* peer = links_.FindPeer(aLink);
  if (peer == nullptr || aReply.verdict_ != gpCopyVerdict::Copied ||
      aReply.service_ != service_ ||
      aReply.partition_.value_ >= kClaimPartitions) {
    return;
  }
  table_.Import(aReply.records_, aNow);
  if (!aReply.last_) {
    return;
  }
  if (partitions_.NoteCopied(
        aReply.partition_, aReply.epoch_, peer->incarnation_)) {
    gpTimelineEvent event;
    event.kind_ = gpEventKind::ClaimsCopied;
    event.number_ = aReply.partition_.value_;
    aOut.Write(std::move(event));
    UpdateWatches(aOut);
  }
}

gpClaimVerdict
gpGuardClaims::Judge(const gpServiceKey& aKey, gpTime aNow) const
{
  if (aKey.service_ != service_) {
    return gpClaimVerdict::NotHolder;
  }
  // Without contact with the log service this guard doesn't learn of roster
  // changes. Other guards may have replaced it as a replica, so it must not
  // grant claims after that time.
  if (aNow - logContact_ > logSilence_) {
    return gpClaimVerdict::Abstains;
  }
  return partitions_.Judge(gpPartitionOf(aKey));
}

void
gpGuardClaims::AskSources(gpTime aNow, gpEffects& aOut)
{
  for (const auto& need : partitions_.FindCopyNeeds(aNow - kCopyRetry)) {
    const auto link = links_.FindLink(need.source_);
    if (!link.has_value()) {
      continue;
    }
    aOut.Send(*link, gpCopyRequest{ service_, need.partition_, need.epoch_ });
    partitions_.NoteAsked(need, aNow);
  }
  UpdateWatches(aOut);
}

void
gpGuardClaims::UpdateWatches(gpEffects& aOut)
{
  std::set<gpAddress> wanted;
  for (const auto& need : partitions_.FindCopyNeeds(gpTime::max())) {
    wanted.insert(need.address_);
  }
  for (const gpAddress& address : wanted) {
    if (!watched_.contains(address)) {
      aOut.Add(gpWatchAddress{ address });
    }
  }
  for (const gpAddress& address : watched_) {
    if (!wanted.contains(address)) {
      aOut.Add(gpUnwatchAddress{ address });
    }
  }
  watched_ = std::move(wanted);
}

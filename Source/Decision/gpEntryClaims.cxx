#include "gpEntryClaims.h"

#include <algorithm>
#include <utility>

#include "gpDecisionEvents.h"

namespace {

/// How long a withdrawn claim is remembered; longer than any configurable
/// retention of claims.
constexpr gpMillis kWithdrawnRetention{ 25 * 3600 * 1000 };
/// Interval at which open rounds are checked for time-outs.
constexpr gpMillis kRoundPeriod{ 20 };

} // namespace

gpEntryClaims::gpEntryClaims(gpAddress aAddress,
                             gpTimings aTimings,
                             const gpLinkTable& aLinks)
  : address_(std::move(aAddress))
  , timings_(aTimings)
  , links_(aLinks)
{
}

void
gpEntryClaims::Begin(const gpJob& aJob,
                     gpClaimRound::Kind aKind,
                     gpTime aNow,
                     gpEffects& aOut)
{
  const gpServiceKey key = *gpKeyOf(aJob);
  OpenRound openRound{
    key, aJob.submission_.digest_, MakeRound(key, aKind), aNow, false
  };
  openRounds_.insert_or_assign(aJob.id_, std::move(openRound));
  if (aKind == gpClaimRound::Kind::Claim) {
    aOut.Write(gpClaimEvent(gpEventKind::ClaimAsked, key, aJob.id_));
  }
  Advance(aJob.id_, aNow, aOut);
}

void
gpEntryClaims::Abandon(const gpJobId& aJob, gpTime aNow, gpEffects& aOut)
{
  const auto found = openRounds_.find(aJob);
  if (found == openRounds_.end()) {
    return;
  }
  const bool isClaim =
    found->second.round_.GetKind() == gpClaimRound::Kind::Claim;
  const gpServiceKey key = found->second.key_;
  const auto replicas = found->second.round_.ListPossibleGrants();
  openRounds_.erase(found);
  if (isClaim) {
    SendWithdraw(key, aJob, replicas, aNow, aOut);
  }
}

void
gpEntryClaims::Withdraw(const gpJob& aJob, gpTime aNow, gpEffects& aOut)
{
  SendWithdraw(*gpKeyOf(aJob), aJob.id_, aJob.grants_, aNow, aOut);
}

void
gpEntryClaims::WithdrawAgain(const gpServiceKey& aKey,
                             const gpJobId& aJob,
                             gpTime aNow,
                             gpEffects& aOut)
{
  const auto replicas = replicas_.ReplicasOf(aKey);
  SendWithdraw(aKey, aJob, replicas, aNow, aOut);
}

void
gpEntryClaims::SendOutcome(const gpJob& aJob, gpEffects& aOut)
{
  const gpServiceKey key = *gpKeyOf(aJob);
  for (const gpIncarnation guard : aJob.grants_) {
    const auto link = links_.FindLink(guard);
    if (link.has_value()) {
      aOut.Send(*link, gpClaimOutcome{ key, aJob.id_, *aJob.answer_ });
    }
  }
}

bool
gpEntryClaims::IsWithdrawn(const gpJobId& aJob) const
{
  return withdrawn_.contains(aJob);
}

void
gpEntryClaims::OnRoster(const gpRoster& aRoster, gpTime aNow, gpEffects& aOut)
{
  replicas_.SetRoster(aRoster);
  for (auto& [job, openRound] : openRounds_) {
    // Verdicts of an earlier epoch must not be counted together with those of
    // this one. A replica grants the key again to a claimant that it has
    // already granted it to, so the round can start afresh.
    openRound.round_ = MakeRound(openRound.key_, openRound.round_.GetKind());
    openRound.waitsForRoster_ = false;
  }
  AdvanceAll(aNow, aOut);
}

void
gpEntryClaims::OnReply(gpIncarnation aReplica,
                       const gpClaimReply& aReply,
                       gpTime aNow,
                       gpEffects& aOut)
{
  const auto found = openRounds_.find(aReply.job_);
  if (found == openRounds_.end()) {
    return;
  }
  found->second.round_.OnReply(aReplica, aReply, aNow);
  Advance(aReply.job_, aNow, aOut);
}

void
gpEntryClaims::OnLinkLost(gpIncarnation aReplica, gpTime aNow, gpEffects& aOut)
{
  for (auto& [job, openRound] : openRounds_) {
    openRound.round_.OnUnreachable(aReplica);
  }
  AdvanceAll(aNow, aOut);
}

void
gpEntryClaims::OnTime(gpTime aNow, gpEffects& aOut)
{
  AdvanceAll(aNow, aOut);
  std::erase_if(withdrawn_,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

std::vector<gpClaimResult>
gpEntryClaims::TakeResults()
{
  return std::exchange(results_, {});
}

gpTime
gpEntryClaims::GetNextTime(gpTime aNow) const
{
  return openRounds_.empty() ? gpTime::max() : aNow + kRoundPeriod;
}

gpClaimRound
gpEntryClaims::MakeRound(const gpServiceKey& aKey, gpClaimRound::Kind aKind)
{
  return gpClaimRound(aKind, replicas_.ReplicasOf(aKey), GetRoster().epoch_);
}

void
gpEntryClaims::Ask(const gpJobId& aJob,
                   OpenRound& aOpenRound,
                   gpTime aNow,
                   gpEffects& aOut)
{
  const auto isLinked = [this](gpIncarnation aGuard) {
    return links_.FindLink(aGuard).has_value();
  };
  const auto toAsk =
    aOpenRound.round_.TakeToAsk(aNow, timings_.claimReply_, isLinked);
  for (const gpIncarnation guard : toAsk) {
    const gpLinkId link = *links_.FindLink(guard);
    if (aOpenRound.round_.GetKind() != gpClaimRound::Kind::Claim) {
      aOut.Send(link, gpClaimQuery{ aOpenRound.key_, aJob });
    } else {
      aOut.Send(link,
                gpClaimRequest{ aOpenRound.key_,
                                aOpenRound.digest_,
                                gpClaimant{ aJob, address_ },
                                aOpenRound.round_.GetEpoch() });
    }
  }
}

void
gpEntryClaims::Advance(const gpJobId& aJob, gpTime aNow, gpEffects& aOut)
{
  OpenRound& openRound = openRounds_.at(aJob);
  gpRoundResult result = openRound.round_.GetResult();
  if (result == gpRoundResult::Open && !openRound.waitsForRoster_) {
    Ask(aJob, openRound, aNow, aOut);
    result = openRound.round_.GetResult();
  }
  const bool late = openRound.startedAt_ + timings_.claimTotal_ <= aNow;
  if (result == gpRoundResult::StaleRoster && !late) {
    openRound.waitsForRoster_ = true;
    return;
  }
  if (result == gpRoundResult::Open && !late) {
    return;
  }
  if (result == gpRoundResult::Open || result == gpRoundResult::StaleRoster) {
    const bool held = openRound.round_.GetClaimant().has_value();
    result = held ? gpRoundResult::Held : gpRoundResult::Unavailable;
  }
  Finish(aJob, result, aNow, aOut);
}

void
gpEntryClaims::AdvanceAll(gpTime aNow, gpEffects& aOut)
{
  std::vector<gpJobId> jobs;
  jobs.reserve(openRounds_.size());
  for (const auto& [job, openRound] : openRounds_) {
    jobs.push_back(job);
  }
  for (const gpJobId& job : jobs) {
    Advance(job, aNow, aOut);
  }
}

void
gpEntryClaims::Finish(const gpJobId& aJob,
                      gpRoundResult aResult,
                      gpTime aNow,
                      gpEffects& aOut)
{
  const auto found = openRounds_.find(aJob);
  const OpenRound& openRound = found->second;
  const bool isClaim = openRound.round_.GetKind() == gpClaimRound::Kind::Claim;
  results_.push_back({ aJob,
                       openRound.round_.GetKind(),
                       aResult,
                       openRound.round_.GetClaimant(),
                       openRound.round_.GetAnswer(),
                       openRound.round_.ListPossibleGrants() });
  const gpServiceKey key = openRound.key_;
  const auto replicas = openRound.round_.ListPossibleGrants();
  openRounds_.erase(found);
  if (!isClaim) {
    return;
  }
  if (aResult == gpRoundResult::Won) {
    aOut.Write(gpClaimEvent(gpEventKind::ClaimWon, key, aJob));
  } else {
    SendWithdraw(key, aJob, replicas, aNow, aOut);
  }
}

void
gpEntryClaims::SendWithdraw(const gpServiceKey& aKey,
                            const gpJobId& aJob,
                            const std::vector<gpIncarnation>& aReplicas,
                            gpTime aNow,
                            gpEffects& aOut)
{
  withdrawn_.insert_or_assign(aJob, aNow + kWithdrawnRetention);
  aOut.Write(gpClaimEvent(gpEventKind::ClaimWithdrawn, aKey, aJob));
  for (const gpIncarnation guard : aReplicas) {
    const auto link = links_.FindLink(guard);
    if (link.has_value()) {
      aOut.Send(*link, gpClaimWithdraw{ aKey, aJob });
    }
  }
}

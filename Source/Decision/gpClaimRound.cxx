#include "gpClaimRound.h"

#include <algorithm>
#include <utility>

#include "gpHolderRanking.h"

namespace {

/// Pause before a replica whose roster was older is asked again.
constexpr gpMillis kBehindRetry{ 20 };

} // namespace

gpClaimRound::gpClaimRound(Kind aKind,
                           std::vector<gpIncarnation> aHolders,
                           gpRosterEpoch aEpoch)
  : kind_(aKind)
  , epoch_(aEpoch)
  , order_(std::move(aHolders))
{
  for (const gpIncarnation guard : order_) {
    holders_.emplace(guard, Holder{});
  }
}

void
gpClaimRound::OnReply(gpIncarnation aHolder,
                      const gpClaimReply& aReply,
                      gpTime aNow)
{
  const auto found = holders_.find(aHolder);
  if (found == holders_.end() || found->second.state_ == State::Idle) {
    return;
  }
  Holder& holder = found->second;
  switch (aReply.verdict_) {
    case gpClaimVerdict::Granted:
      // A grant of another epoch must not be counted with those of this one:
      // the replicas may differ, so two grants would not exclude another
      // quorum.
      holder.state_ = aReply.epoch_ == epoch_ ? State::Granted : State::Denied;
      stale_ = stale_ || aReply.epoch_ > epoch_;
      break;
    case gpClaimVerdict::Held:
      holder.state_ = State::Denied;
      claimant_ = aReply.claimant_;
      if (aReply.outcome_.has_value()) {
        answer_ = aReply.outcome_;
      }
      break;
    case gpClaimVerdict::OtherBody:
      holder.state_ = State::Denied;
      otherBody_ = true;
      break;
    case gpClaimVerdict::StaleEpoch:
      holder.state_ = State::Denied;
      stale_ = true;
      break;
    case gpClaimVerdict::BehindYou:
      holder.state_ = State::Idle;
      holder.notBefore_ = aNow + kBehindRetry;
      break;
    case gpClaimVerdict::NotHolder:
    case gpClaimVerdict::Abstains:
      holder.state_ = State::Denied;
      break;
  }
}

void
gpClaimRound::OnUnreachable(gpIncarnation aHolder)
{
  const auto found = holders_.find(aHolder);
  if (found == holders_.end()) {
    return;
  }
  // A grant stays valid when the replica becomes unreachable.
  if (found->second.state_ != State::Granted) {
    found->second.state_ = State::Denied;
  }
}

gpRoundResult
gpClaimRound::GetResult() const
{
  const bool mustHearAll = kind_ == Kind::LastLook && !answer_.has_value();
  if (mustHearAll && Count(State::Idle) + Count(State::Asked) > 0) {
    return gpRoundResult::Open;
  }
  if (Count(State::Granted) >= kClaimQuorum) {
    return gpRoundResult::Won;
  }
  if (otherBody_) {
    return gpRoundResult::OtherBody;
  }
  if (answer_.has_value()) {
    return gpRoundResult::Answered;
  }
  const bool queryFound = kind_ != Kind::Claim && claimant_.has_value();
  const std::size_t possible = holders_.size() - Count(State::Denied);
  if (!queryFound && possible >= kClaimQuorum) {
    return gpRoundResult::Open;
  }
  if (claimant_.has_value()) {
    return gpRoundResult::Held;
  }
  return stale_ ? gpRoundResult::StaleRoster : gpRoundResult::Unavailable;
}

std::vector<gpIncarnation>
gpClaimRound::ListPossibleGrants() const
{
  std::vector<gpIncarnation> possible;
  for (const auto& [guard, holder] : holders_) {
    const bool isPossible = holder.state_ == State::Asked ||
                            holder.state_ == State::Silent ||
                            holder.state_ == State::Granted;
    if (isPossible) {
      possible.push_back(guard);
    }
  }
  return possible;
}

std::size_t
gpClaimRound::Count(State aState) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(holders_, [aState](const auto& aEntry) {
      return aEntry.second.state_ == aState;
    }));
}

std::size_t
gpClaimRound::CountNeeded() const
{
  return kind_ == Kind::LastLook ? kClaimHolders : kClaimQuorum;
}

void
gpClaimRound::MarkSilent(gpTime aNow, gpMillis aReplyTime)
{
  for (auto& [guard, holder] : holders_) {
    if (holder.state_ == State::Asked && holder.askedAt_ + aReplyTime <= aNow) {
      holder.state_ = State::Silent;
    }
  }
}

#include "gpClaimRound.h"

#include <algorithm>
#include <utility>

#include "gpReplicaRanking.h"

namespace {

/// Pause before a replica whose roster was older is asked again.
constexpr gpMillis kBehindRetry{ 20 };

} // namespace

gpClaimRound::gpClaimRound(Kind aKind,
                           std::vector<gpIncarnation> aReplicas,
                           gpRosterEpoch aEpoch)
  : kind_(aKind)
  , epoch_(aEpoch)
  , order_(std::move(aReplicas))
{
  for (const gpIncarnation guard : order_) {
    replicas_.emplace(guard, Replica{});
  }
}

void
gpClaimRound::OnReply(gpIncarnation aReplica,
                      const gpClaimReply& aReply,
                      gpTime aNow)
{
  const auto found = replicas_.find(aReplica);
  if (found == replicas_.end() || found->second.state_ == State::Idle) {
    return;
  }
  Replica& replica = found->second;
  switch (aReply.verdict_) {
    case gpClaimVerdict::Granted:
      // A grant of another epoch must not be counted with those of this one:
      // the replicas may differ, so two grants would not exclude another
      // quorum.
      replica.state_ = aReply.epoch_ == epoch_ ? State::Granted : State::Denied;
      sawNewerRoster_ = sawNewerRoster_ || aReply.epoch_ > epoch_;
      break;
    case gpClaimVerdict::Held:
      replica.state_ = State::Denied;
      claimant_ = aReply.claimant_;
      if (aReply.outcome_.has_value()) {
        answer_ = aReply.outcome_;
      }
      break;
    case gpClaimVerdict::OtherBody:
      replica.state_ = State::Denied;
      otherBody_ = true;
      break;
    case gpClaimVerdict::StaleEpoch:
      replica.state_ = State::Denied;
      sawNewerRoster_ = true;
      break;
    case gpClaimVerdict::BehindYou:
      replica.state_ = State::Idle;
      replica.notBefore_ = aNow + kBehindRetry;
      break;
    case gpClaimVerdict::NotHolder:
    case gpClaimVerdict::Abstains:
      replica.state_ = State::Denied;
      break;
  }
}

void
gpClaimRound::OnUnreachable(gpIncarnation aReplica)
{
  const auto found = replicas_.find(aReplica);
  if (found == replicas_.end()) {
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
  const bool needsAllReplies =
    kind_ == Kind::FinalQuery && !answer_.has_value();
  if (needsAllReplies && Count(State::Idle) + Count(State::Asked) > 0) {
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
  const std::size_t possible = replicas_.size() - Count(State::Denied);
  if (!queryFound && possible >= kClaimQuorum) {
    return gpRoundResult::Open;
  }
  if (claimant_.has_value()) {
    return gpRoundResult::Held;
  }
  return sawNewerRoster_ ? gpRoundResult::StaleRoster
                         : gpRoundResult::Unavailable;
}

std::vector<gpIncarnation>
gpClaimRound::ListPossibleGrants() const
{
  std::vector<gpIncarnation> possible;
  for (const auto& [guard, replica] : replicas_) {
    const bool isPossible = replica.state_ == State::Asked ||
                            replica.state_ == State::Silent ||
                            replica.state_ == State::Granted;
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
    std::ranges::count_if(replicas_, [aState](const auto& aEntry) {
      return aEntry.second.state_ == aState;
    }));
}

std::size_t
gpClaimRound::CountNeeded() const
{
  return kind_ == Kind::FinalQuery ? kClaimReplicas : kClaimQuorum;
}

void
gpClaimRound::MarkSilent(gpTime aNow, gpMillis aReplyTime)
{
  for (auto& [guard, replica] : replicas_) {
    if (replica.state_ == State::Asked &&
        replica.askedAt_ + aReplyTime <= aNow) {
      replica.state_ = State::Silent;
    }
  }
}

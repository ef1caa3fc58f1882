#include "gpClaimRound.h"

#include <algorithm>
#include <utility>

#include "gpHolderRanking.h"

namespace {

/// Pause before a holder whose roster was older is asked again.
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
      // A verdict of another epoch must not be counted with those of this one.
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
  // A grant that was given stands, whatever becomes of the holder.
  if (found->second.state_ != State::Granted) {
    found->second.state_ = State::Denied;
  }
}

gpRoundResult
gpClaimRound::GetResult() const
{
  if (Count(State::Granted) >= kClaimQuorum) {
    return gpRoundResult::Won;
  }
  if (otherBody_) {
    return gpRoundResult::OtherBody;
  }
  if (answer_.has_value()) {
    return gpRoundResult::Answered;
  }
  const bool queryFound = kind_ == Kind::Query && claimant_.has_value();
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
gpClaimRound::ListAsked() const
{
  std::vector<gpIncarnation> asked;
  for (const auto& [guard, holder] : holders_) {
    if (holder.askedAt_ != gpTime{}) {
      asked.push_back(guard);
    }
  }
  return asked;
}

std::size_t
gpClaimRound::Count(State aState) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(holders_, [aState](const auto& aEntry) {
      return aEntry.second.state_ == aState;
    }));
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

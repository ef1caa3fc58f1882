#include "gpTargetClaims.h"

#include <algorithm>

#include "gpLeaseTimings.h"

namespace {

bool
IsSameIncarnation(const gpTargetAnnouncement& aFirst,
                  const gpTargetAnnouncement& aSecond)
{
  return aFirst.id_ == aSecond.id_ && aFirst.startTime_ == aSecond.startTime_;
}

} // namespace

void
gpTargetClaims::Note(const gpTargetAnnouncement& aTarget, gpTime aNow)
{
  const auto known =
    std::find_if(claims_.begin(), claims_.end(), [&](const Entry& aEntry) {
      return IsSameIncarnation(aEntry.claim_.target_, aTarget);
    });
  if (known != claims_.end()) {
    const bool isDraining =
      aTarget.draining_ || known->claim_.target_.draining_;
    if (aTarget.sequence_ > known->claim_.target_.sequence_) {
      known->claim_ = { aTarget, aNow };
      known->nextAt_ = aNow;
    }
    known->claim_.target_.draining_ = isDraining;
    return;
  }
  if (claims_.size() == kMostClaims) {
    claims_.erase(claims_.begin());
  }
  claims_.push_back({ .claim_ = { aTarget, aNow }, .nextAt_ = aNow });
}

gpTime
gpTargetClaims::GetNext() const
{
  gpTime next = gpTime::max();
  if (isAsking_) {
    return next;
  }
  for (const Entry& entry : claims_) {
    next = std::min(next, entry.nextAt_);
  }
  return std::max(next, askedAt_ + kShortestPause);
}

std::optional<std::string>
gpTargetClaims::TakeDue(gpTime aNow)
{
  if (claims_.empty() || aNow < GetNext()) {
    return std::nullopt;
  }
  const auto due =
    std::min_element(claims_.begin(),
                     claims_.end(),
                     [](const Entry& aLeft, const Entry& aRight) {
                       return aLeft.nextAt_ < aRight.nextAt_;
                     });
  isAsking_ = true;
  askedAt_ = aNow;
  return due->claim_.target_.id_;
}

std::optional<gpTargetClaim>
gpTargetClaims::Confirm(const std::string& aId, std::uint64_t aStartTime)
{
  std::optional<gpTargetClaim> confirmed;
  for (const Entry& entry : claims_) {
    const gpTargetAnnouncement& target = entry.claim_.target_;
    if (target.id_ == aId && target.startTime_ == aStartTime) {
      confirmed = entry.claim_;
    }
  }
  Refute(aId);
  return confirmed;
}

void
gpTargetClaims::Refute(const std::string& aId)
{
  isAsking_ = false;
  std::erase_if(claims_, [&](const Entry& aEntry) {
    return aEntry.claim_.target_.id_ == aId;
  });
}

void
gpTargetClaims::NoteUnanswered(const std::string& aId, gpTime aNow)
{
  isAsking_ = false;
  for (Entry& entry : claims_) {
    if (entry.claim_.target_.id_ == aId) {
      entry.nextAt_ = aNow + entry.pause_;
      entry.pause_ = std::min(2 * entry.pause_, gpPollSchedule::kLongestPause);
    }
  }
}

void
gpTargetClaims::NoteFenceRefused(const std::string& aId, gpTime aNow)
{
  isAsking_ = false;
  for (Entry& entry : claims_) {
    if (entry.claim_.target_.id_ == aId) {
      const bool isAtOnce =
        ++entry.fenceRefusals_ <= gpPollSchedule::kMostFastRefusals;
      entry.nextAt_ =
        aNow + (isAtOnce ? gpMillis(0) : gpPollSchedule::kLongestPause);
    }
  }
}

std::vector<std::string>
gpTargetClaims::DropOld(gpTime aNow)
{
  std::vector<std::string> dropped;
  // While the target is asked, its answer may still confirm a claim.
  if (isAsking_) {
    return dropped;
  }
  std::erase_if(claims_, [&](const Entry& aEntry) {
    const bool isOld = aNow - aEntry.claim_.toldAt_ >= kHeartbeatLifetime;
    if (isOld) {
      dropped.push_back(aEntry.claim_.target_.id_);
    }
    return isOld;
  });
  return dropped;
}

#include "gpTargetSession.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gpLeaseTimings.h"

bool
gpTargetSession::IsPresent(const gpTargetAnnouncement& aTarget) const
{
  return target_.has_value() && target_->id_ == aTarget.id_ &&
         target_->startTime_ == aTarget.startTime_;
}

bool
gpTargetSession::IsProven(const gpTargetAnnouncement& aTarget) const
{
  return target_.has_value() && target_->id_ == aTarget.id_ &&
         reportedStartTime_ == aTarget.startTime_;
}

bool
gpTargetSession::IsNews(const gpTargetAnnouncement& aTarget, gpTime aNow)
{
  isInSeries_ = series_.Note(aTarget.sequence_, aNow);
  return aTarget.sequence_ > target_->sequence_ || isInSeries_ ||
         (aTarget.draining_ && !target_->draining_);
}

gpTargetAnnouncement
gpTargetSession::Merge(const gpTargetAnnouncement& aTarget) const
{
  const bool isNewer = aTarget.sequence_ > target_->sequence_ || isInSeries_;
  gpTargetAnnouncement merged = isNewer ? aTarget : *target_;
  merged.draining_ = aTarget.draining_ || (target_->draining_ && !isInSeries_);
  return merged;
}

bool
gpTargetSession::NoteHeartbeat(const gpTargetAnnouncement& aTarget, gpTime aNow)
{
  if (IsPresent(aTarget)) {
    target_ = Merge(aTarget);
    ended_ = ended_ && (aTarget.draining_ || !isInSeries_);
    return false;
  }
  target_ = aTarget;
  series_.Restart();
  isInSeries_ = series_.Note(aTarget.sequence_, aNow);
  // Orders for the earlier incarnation may still be in flight; the higher fence
  // makes the new one refuse them.
  RaiseFence();
  ended_ = false;
  NoteAnswer(aNow);
  reportedStartTime_ = aTarget.startTime_;
  leaseExpiresAt_ = aNow;
  isLeaseUnknown_ = false;
  clock_ = 0;
  return true;
}

bool
gpTargetSession::NoteStartTime(std::uint64_t aStartTime)
{
  if (aStartTime == 0 || aStartTime == reportedStartTime_) {
    return false;
  }
  const bool isFirst = reportedStartTime_ == 0;
  reportedStartTime_ = aStartTime;
  if (isFirst || !target_.has_value() || target_->startTime_ == aStartTime) {
    return false;
  }
  RaiseFence();
  return true;
}

void
gpTargetSession::NoteRestartedUnderSameId(gpTime aNow)
{
  isLeaseUnknown_ = true;
  leaseExpiresAt_ = aNow + kLongestLease + kLeaseSlack;
}

void
gpTargetSession::NoteFenceSeen(gpTime aNow)
{
  if (std::exchange(isLeaseUnknown_, false)) {
    leaseExpiresAt_ = aNow + kLongestLease + kLeaseSlack;
  }
}

void
gpTargetSession::NoteClock(std::uint64_t aClock, gpTime aNow)
{
  if (aClock != 0) {
    clock_ = aClock;
    clockAt_ = aNow;
  }
}

std::uint64_t
gpTargetSession::ExtendLease(gpTime aNow)
{
  leaseExpiresAt_ = std::max(leaseExpiresAt_, aNow + kLease + kLeaseSlack);
  const auto passed =
    std::chrono::duration_cast<gpMillis>(aNow - clockAt_).count();
  return clock_ + static_cast<std::uint64_t>(passed + kLease.count());
}

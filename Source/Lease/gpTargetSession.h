#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gpHeartbeatSeries.h"
#include "gpLeaseEvent.h"

/** \class gpTargetSession
 * \brief What a guard knows about the present incarnation of its target: its
 * identity, clock, lease and reachability.
 */
class gpTargetSession
{
public:
  /// aFence must be higher than any fence of earlier incarnations of the guard.
  explicit gpTargetSession(std::uint64_t aFence)
    : fence_(aFence)
  {
  }

  /// Handles a heartbeat. Returns true if it's of another incarnation than the
  /// known one, which must have ended.
  bool NoteHeartbeat(const gpTargetAnnouncement& aTarget, gpTime aNow);
  /// Whether a heartbeat of the known incarnation tells more than the known
  /// ones: it's newer, says that the target leaves, or goes on with a series
  /// whose numbers are below that of a single one.
  bool IsNews(const gpTargetAnnouncement& aTarget, gpTime aNow);
  /// Handles the start time that an answer of the target contains. Returns true
  /// if this is another incarnation under the same ID; its capacity is unknown
  /// until its next heartbeat.
  bool NoteStartTime(std::uint64_t aStartTime);
  /// Another incarnation has appeared under the same ID. Until it has seen the
  /// higher fence, it accepts late orders for the earlier one, whose clock was
  /// ahead, so that its lease may be as long as the target allows.
  void NoteRestartedUnderSameId(gpTime aNow);
  /// The target has answered the first call with a fence for this incarnation.
  void NoteFenceSeen(gpTime aNow);
  /// Stores the target's clock, in ms, from an answer received at aNow.
  void NoteClock(std::uint64_t aClock, gpTime aNow);
  /// The target answered a call, with whatever result.
  void NoteAnswer(gpTime aNow)
  {
    answeredAt_ = aNow;
    isReachable_ = true;
  }
  /// A call could not be sent, as the target has ended or is unreachable.
  /// Raises the fence, so that calls still in flight are refused, also by the
  /// target's next incarnation.
  void NoteUnreachable()
  {
    isReachable_ = false;
    RaiseFence();
  }
  void RaiseFence() { fence_ += kFenceStep; }
  /// The known incarnation does not exist any more; the next heartbeat names
  /// the present one.
  void Forget()
  {
    target_.reset();
    reportedStartTime_ = 0;
    RaiseFence();
  }
  /// The target announced that it ends.
  void NoteEnded() { ended_ = true; }
  /// Whether a heartbeat is of the known incarnation.
  bool IsPresent(const gpTargetAnnouncement& aTarget) const;
  /// Whether the target has answered a call for the known ID as the incarnation
  /// of this heartbeat.
  bool IsProven(const gpTargetAnnouncement& aTarget) const;

  bool IsKnown() const { return target_.has_value(); }
  /// Whether the last heartbeat is of the incarnation that answers calls.
  bool IsConfirmed() const { return target_->startTime_ == reportedStartTime_; }
  const gpTargetAnnouncement& Get() const { return *target_; }
  /// Whether the target gets no more work because a call could not be sent, or
  /// because it has not answered for kLongestSilence. Single lost answers are
  /// tolerated.
  bool IsSilent(gpTime aNow) const
  {
    return !isReachable_ || aNow - answeredAt_ > kLongestSilence;
  }
  bool IsLeaving() const { return ended_ || target_->draining_; }
  std::uint64_t GetFence() const { return fence_; }
  /// Returns the new end of the lease, in ms on the target's clock, and records
  /// that the lease is sent at aNow.
  std::uint64_t ExtendLease(gpTime aNow);
  /// Whether the target's lease has expired for certain.
  bool HasLeaseExpired(gpTime aNow) const { return aNow >= leaseExpiresAt_; }

private:
  static constexpr std::uint64_t kFenceStep = 1000;
  /// Longer than several polls take, so that single lost answers are tolerated.
  static constexpr gpMillis kLongestSilence{ 450 };

  /// The present heartbeat, but leaving if any of this incarnation was; only a
  /// series of heartbeats says that the target stays.
  gpTargetAnnouncement Merge(const gpTargetAnnouncement& aTarget) const;

  std::optional<gpTargetAnnouncement> target_;
  gpHeartbeatSeries series_;
  /// Whether the last heartbeat belongs to a series.
  bool isInSeries_ = false;
  /// Start time of the incarnation in the target's last answer; 0 if none.
  std::uint64_t reportedStartTime_ = 0;
  std::uint64_t fence_;
  std::uint64_t clock_ = 0;
  gpTime clockAt_;
  gpTime leaseExpiresAt_;
  /// Whether late orders may have extended the lease.
  bool isLeaseUnknown_ = false;
  gpTime answeredAt_;
  bool isReachable_ = true;
  bool ended_ = false;
};

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gpLeaseEvent.h"

/** \class gpTargetSession
 * \brief What a guard knows of the incarnation of its target: who it is, its
 * clock, its lease and whether it answers.
 */
class gpTargetSession
{
public:
  /// aFence is higher than that of the guard's former incarnations.
  explicit gpTargetSession(std::uint64_t aFence)
    : fence_(aFence)
  {
  }

  /// Takes a heartbeat. True if it's from another incarnation than before, so
  /// that nothing runs at the target any more.
  bool Hear(const gpTargetAnnouncement& aTarget, gpTime aNow);
  /// Takes the incarnation that the target itself told. True if it's another
  /// one under the same ID; its capacity is unknown until its heartbeat.
  bool NoteBorn(std::uint64_t aBorn);
  /// Notes the target's clock, in ms, as of an answer that came now.
  void NoteClock(std::uint64_t aClock, gpTime aNow);
  /// The target answered a call, whatever it said.
  void NoteAnswer(gpTime aNow)
  {
    answeredAt_ = aNow;
    isReachable_ = true;
  }
  /// A call could not be sent: the target is gone, or there is no way to it.
  /// What is still under way is to be refused, also by a successor.
  void NoteUnreachable()
  {
    isReachable_ = false;
    RaiseFence();
  }
  void RaiseFence() { fence_ += kFenceStep; }
  /// The target said that it ends.
  void NoteEnded() { ended_ = true; }
  /// Whether a heartbeat is of the present incarnation or a newer one.
  bool IsCurrent(const gpTargetAnnouncement& aTarget) const;

  bool IsKnown() const { return target_.has_value(); }
  /// Whether the last heartbeat is of the incarnation that answers.
  bool IsConfirmed() const { return target_->born_ == toldBorn_; }
  const gpTargetAnnouncement& Get() const { return *target_; }
  /// Whether it gets no more work: a call could not be sent, or it hasn't
  /// answered for so long. Single answers may be lost.
  bool IsSilent(gpTime aNow) const
  {
    return !isReachable_ || aNow - answeredAt_ > kLongestSilence;
  }
  bool IsLeaving() const { return ended_ || target_->draining_; }
  std::uint64_t GetFence() const { return fence_; }
  /// A new end of the lease, in ms on the target's clock; noted as sent.
  std::uint64_t ExtendLease(gpTime aNow);
  /// True once the last lease that was sent has lapsed for certain.
  bool HasLapsed(gpTime aNow) const { return aNow >= lapsedAt_; }

private:
  static constexpr std::uint64_t kFenceStep = 1000;
  /// Several calls are made within this time.
  static constexpr gpMillis kLongestSilence{ 450 };

  std::optional<gpTargetAnnouncement> target_;
  /// The incarnation that the target told last in an answer; 0 if none.
  std::uint64_t toldBorn_ = 0;
  std::uint64_t fence_;
  std::uint64_t clock_ = 0;
  gpTime clockAt_;
  gpTime lapsedAt_;
  gpTime answeredAt_;
  bool isReachable_ = true;
  bool ended_ = false;
};

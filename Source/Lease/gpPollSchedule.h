#pragma once

#include "gpTime.h"

/** \class gpPollSchedule
 * \brief When a guard polls its target next: there is one poll in flight at a
 * time; the next one follows at once after an answer, also after one that
 * refuses the fence, and after a growing pause (exponential backoff) while
 * polls fail.
 */
class gpPollSchedule
{
public:
  /// First pause after a failed call. Short enough for several polls within the
  /// time after which a silent target gets no more work.
  static constexpr gpMillis kShortestPause{ 20 };
  /// Longest pause, reached while a target is unreachable: a few calls a
  /// second.
  static constexpr gpMillis kLongestPause{ 160 };
  /// So many refusals for the fence are followed by a call at once: more than
  /// the fence needs to reach its limit, as each one doubles the raise.
  static constexpr int kMostFastRefusals = 60;

  bool IsDue(gpTime aNow) const { return !isInFlight_ && aNow >= nextAt_; }
  bool IsInFlight() const { return isInFlight_; }
  /// When the next poll is due; valid only while none is in flight.
  gpTime GetNext() const { return nextAt_; }
  /// Whether this incarnation of the target has answered a poll.
  bool HasAnswer() const { return answered_; }
  /// Pause before a failed call to the target is repeated.
  gpMillis GetPause() const;

  /// Whether the last poll failed. The next one then asks for an immediate
  /// answer, so that its loss is noticed soon.
  bool HasFailed() const { return failures_ > 0 || refusals_ > 0; }

  /// Whether a poll sent at aSentAt was sent to this incarnation.
  bool IsCurrent(gpTime aSentAt) const { return aSentAt >= restartedAt_; }

  void NoteSent() { isInFlight_ = true; }
  /// The poll sent at aSentAt was answered.
  void NoteAnswered(gpTime aSentAt, gpTime aNow);
  /// The poll sent at aSentAt failed or was not answered.
  void NoteFailed(gpTime aSentAt, gpTime aNow);
  /// The target refused the fence of the poll sent at aSentAt. The next one
  /// follows at once, up to a limit.
  void NoteFenceRefused(gpTime aSentAt, gpTime aNow);
  /// The target sent a heartbeat, so it's reachable: a long backoff pause ends.
  void NoteHeartbeat(gpTime aNow);
  /// Another incarnation of the target was detected, which has not answered
  /// yet. The answer of a poll in flight will be ignored.
  void Restart(gpTime aNow);

private:
  bool isInFlight_ = false;
  bool answered_ = false;
  gpTime nextAt_;
  /// Answers of polls that were sent before are ignored.
  gpTime restartedAt_;
  /// Number of consecutive failed polls.
  int failures_ = 0;
  /// Number of polls refused for their fence since the last answer.
  int refusals_ = 0;
};

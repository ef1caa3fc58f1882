#pragma once

#include "gpTime.h"

/** \class gpLookSchedule
 * \brief When a guard looks at its target next: one look at a time, at once
 * after an answer, and after a growing pause while there is none (exponential
 * backoff).
 */
class gpLookSchedule
{
public:
  bool IsDue(gpTime aNow) const { return !underWay_ && aNow >= nextAt_; }
  bool IsUnderWay() const { return underWay_; }
  /// Only meant while no look is under way.
  gpTime GetNext() const { return nextAt_; }
  /// Whether a look has been answered since the target was first heard.
  bool HasAnswer() const { return answered_; }
  /// Pause before the repetition of a call that the target didn't answer.
  gpMillis GetPause() const;

  /// Whether the last look had no answer. The next one is to come back at
  /// once, so that its loss costs little time.
  bool HasFailed() const { return failures_ > 0; }

  void NoteSent() { underWay_ = true; }
  /// The look that was sent at aSentAt was answered.
  void NoteAnswered(gpTime aSentAt, gpTime aNow);
  /// Likewise, but it had no answer.
  void NoteFailed(gpTime aSentAt, gpTime aNow);
  /// The target is there: what was paused for isn't waited for any more.
  void NoteHeard(gpTime aNow);
  /// The target is another incarnation, which has not answered yet. A look that
  /// is under way isn't waited for.
  void Restart(gpTime aNow);

private:
  bool underWay_ = false;
  bool answered_ = false;
  gpTime nextAt_;
  /// Looks that were sent before don't count.
  gpTime restartedAt_;
  /// Looks in a row without an answer.
  int failures_ = 0;
};

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

  void NoteSent() { underWay_ = true; }
  void NoteAnswered(gpTime aNow);
  void NoteFailed(gpTime aNow);
  /// The target is there: what was paused for isn't waited for any more.
  void NoteHeard(gpTime aNow);
  /// The target is another incarnation, which has not answered yet.
  void Restart(gpTime aNow);

private:
  bool underWay_ = false;
  bool answered_ = false;
  gpTime nextAt_;
  /// Looks in a row without an answer.
  int failures_ = 0;
};

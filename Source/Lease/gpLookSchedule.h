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
  gpMillis GetPause() const { return pause_; }

  void NoteSent() { underWay_ = true; }
  void NoteAnswered(gpTime aNow);
  void NoteFailed(gpTime aNow);
  /// The target is there: what was paused for isn't waited for any more.
  void NoteHeard(gpTime aNow);
  /// The target is another incarnation, which has not answered yet.
  void Restart(gpTime aNow);

private:
  /// Pause after the first look without an answer; several fit into the
  /// time after which a target gets no more work.
  static constexpr gpMillis kShortestPause{ 20 };
  /// Pause in the end, at a target that is gone: a few looks a second.
  static constexpr gpMillis kLongestPause{ 160 };

  bool underWay_ = false;
  bool answered_ = false;
  gpTime nextAt_;
  gpMillis pause_ = kShortestPause;
};

#pragma once

#include <array>
#include <cstddef>

#include "gpTime.h"

/** \class gpLoopLag
 * \brief How long events wait in a process before it handles them.
 *
 * Pattern: standing queue delay. A timer event that is handled late has waited
 * behind earlier events, as has a message that arrived when the timer was due.
 * The minimum over the last few timers is taken: a single long event delays
 * only one of them. If all were late, events arrive faster than the process
 * handles them.
 */
class gpLoopLag
{
public:
  /// A timer that was due at aDue is handled at aNow.
  void NoteTimer(gpTime aDue, gpTime aNow);
  /// Minimum time that events have waited recently.
  gpMillis GetStandingDelay() const;

private:
  static constexpr std::size_t kTimers = 4;

  /// Delays of the last timers.
  std::array<gpMillis, kTimers> delays_{};
  std::size_t next_ = 0;
};

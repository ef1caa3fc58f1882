#pragma once

#include <chrono>

using gpMicros = std::chrono::microseconds;
using gpMillis = std::chrono::milliseconds;

/** \class gpClock
 * \brief Marks time points of the local monotonic clock.
 *
 * Decisions never read a clock: every event carries its time. Points from
 * two processes can't be compared.
 */
struct gpClock
{
  using duration = gpMicros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<gpClock>;
};

using gpTime = gpClock::time_point;

#pragma once

#include <chrono>

using gpMicros = std::chrono::microseconds;
using gpMillis = std::chrono::milliseconds;

/** \class gpClock
 * \brief Type of the local monotonic clock, for time points only.
 *
 * It has no now(): the code that makes decisions never reads a clock, since
 * each event carries its time. Time points of different processes can't be
 * compared.
 */
struct gpClock
{
  using duration = gpMicros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<gpClock>;
};

using gpTime = gpClock::time_point;

#pragma once

#include <algorithm>
#include <cstdint>

/** \class gpLamportClock
 * \brief A logical clock that orders events of different processes: an event
 * has a later time than all events that may have caused it.
 */
class gpLamportClock
{
public:
  /// Advances the clock; returns the time of a new local event.
  std::uint64_t Tick() { return ++now_; }
  /// Advances the clock to the time of a received frame, if that is later.
  void Observe(std::uint64_t aReceived) { now_ = std::max(now_, aReceived); }

private:
  std::uint64_t now_ = 0;
};

#pragma once

#include <algorithm>
#include <cstdint>

/** \class gpLamportClock
 * \brief Orders events of different processes by cause.
 */
class gpLamportClock
{
public:
  /// The time of a new local event.
  std::uint64_t Tick() { return ++now_; }
  /// Takes the time of a received frame into account.
  void Observe(std::uint64_t aTheirs) { now_ = std::max(now_, aTheirs); }

private:
  std::uint64_t now_ = 0;
};

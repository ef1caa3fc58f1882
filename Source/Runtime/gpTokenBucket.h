#pragma once

#include <algorithm>
#include <cstdint>

#include "gpTime.h"

/** \class gpTokenBucket
 * \brief Rate limiter: allows a number of events a second on average, and a
 * burst of as many events at once.
 */
class gpTokenBucket
{
public:
  /// aPerSecond must be at least 1.
  explicit gpTokenBucket(std::uint32_t aPerSecond)
    : perSecond_(aPerSecond)
    , tokens_(aPerSecond)
  {
  }

  /// Takes a token for one event; returns false if the event exceeds the rate.
  bool Take(gpTime aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - refilledAt_;
    refilledAt_ = aNow;
    tokens_ = std::min(perSecond_, tokens_ + elapsed.count() * perSecond_);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  double perSecond_;
  double tokens_;
  gpTime refilledAt_;
};

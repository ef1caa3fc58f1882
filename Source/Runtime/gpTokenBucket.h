#pragma once

#include <algorithm>
#include <cstdint>

#include "gpTime.h"

/** \class gpTokenBucket
 * \brief Lets so many events pass a second, and a burst of as many.
 */
class gpTokenBucket
{
public:
  /// aPerSecond is at least 1.
  explicit gpTokenBucket(std::uint32_t aPerSecond)
    : perSecond_(aPerSecond)
    , tokens_(aPerSecond)
  {
  }

  /// False if the event is to be dropped.
  bool Take(gpTime aNow)
  {
    const std::chrono::duration<double> passed = aNow - filledAt_;
    filledAt_ = aNow;
    tokens_ = std::min(perSecond_, tokens_ + passed.count() * perSecond_);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  double perSecond_;
  double tokens_;
  gpTime filledAt_;
};

#pragma once

#include <algorithm>
#include <cstdint>

#include "gpTime.h"

/** \class gpChangingCapacity
 * \brief The capacity of a simulated target, which shrinks and grows.
 */
class gpChangingCapacity
{
public:
  explicit gpChangingCapacity(std::uint64_t aMilliCores)
    : milliCores_(aMilliCores)
  {
  }

  void Change(std::uint64_t aMilliCores, gpTime aNow)
  {
    before_ = milliCores_;
    milliCores_ = aMilliCores;
    changedAt_ = aNow;
  }
  /// In thousandths of a core.
  std::uint64_t Get() const { return milliCores_; }
  /// The capacity that a start may use: a smaller one counts only after aSlack,
  /// in which the change becomes known.
  std::uint64_t GetLimit(gpMillis aSlack, gpTime aNow) const
  {
    return aNow < changedAt_ + aSlack ? std::max(before_, milliCores_)
                                      : milliCores_;
  }

private:
  std::uint64_t milliCores_;
  std::uint64_t before_ = 0;
  gpTime changedAt_;
};

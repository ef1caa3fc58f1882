#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gpTime.h"

/// A percentile in thousandths, such as 990 for the 99th.
using gpPermille = std::uint32_t;

constexpr gpPermille kGpMedian = 500;
constexpr gpPermille kGpP90 = 900;
constexpr gpPermille kGpP99 = 990;
constexpr gpPermille kGpMax = 1000;

/// Nearest rank of a percentile among aCount values, from 1; 0 without values.
std::size_t
gpRankOf(gpPermille aPermille, std::size_t aCount);

/** \class gpPercentiles
 * \brief Percentiles of a set of times.
 */
struct gpPercentiles
{
  std::uint64_t count_ = 0;
  gpMicros mean_{ 0 };
  gpMicros p50_{ 0 };
  gpMicros p90_{ 0 };
  gpMicros p99_{ 0 };
  gpMicros max_{ 0 };

  bool operator==(const gpPercentiles&) const = default;
};

/// Exact percentiles by nearest rank; all 0 without times.
gpPercentiles
gpPercentilesOf(std::vector<gpMicros> aTimes);

#include "gpPercentiles.h"

#include <algorithm>

std::size_t
gpRankOf(gpPermille aPermille, std::size_t aCount)
{
  return (aCount * aPermille + kGpMax - 1) / kGpMax;
}

gpPercentiles
gpPercentilesOf(std::vector<gpMicros> aTimes)
{
  gpPercentiles percentiles;
  if (aTimes.empty()) {
    return percentiles;
  }
  std::sort(aTimes.begin(), aTimes.end());
  const auto at = [&aTimes](gpPermille aPermille) {
    return aTimes[gpRankOf(aPermille, aTimes.size()) - 1];
  };
  gpMicros sum{ 0 };
  for (const gpMicros time : aTimes) {
    sum += time;
  }
  percentiles.count_ = aTimes.size();
  percentiles.mean_ = sum / static_cast<std::int64_t>(aTimes.size());
  percentiles.p50_ = at(kGpMedian);
  percentiles.p90_ = at(kGpP90);
  percentiles.p99_ = at(kGpP99);
  percentiles.max_ = at(kGpMax);
  return percentiles;
}

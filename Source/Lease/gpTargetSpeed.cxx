#include "gpTargetSpeed.h"

#include <algorithm>
#include <cmath>

namespace {

/// Minimum weight of the newest run in the average. It's low, as estimates are
/// off by up to a half, and in the same direction for all tasks of a job.
constexpr double kNewestWeight = 0.03;
constexpr double kLeastSlowness = 0.1;
constexpr double kMostSlowness = 20.0;
/// Runs with shorter estimates are ignored, as their time says little about
/// speed.
constexpr gpMillis kLeastEstimate{ 5 };

} // namespace

void
gpTargetSpeed::NoteDone(gpMillis aEstimate, gpMicros aTime)
{
  if (aEstimate < kLeastEstimate) {
    return;
  }
  const double ratio =
    std::clamp(static_cast<double>(aTime.count()) /
                 static_cast<double>(gpMicros(aEstimate).count()),
               kLeastSlowness,
               kMostSlowness);
  const double weight = std::max(kNewestWeight, 1.0 / (++runs_ + 1));
  slowness_ *= std::pow(ratio / slowness_, weight);
}

#include "gpTargetSpeed.h"

#include <algorithm>
#include <cmath>

namespace {

/// Minimum weight of the newest run in the average. It's low, as estimates are
/// off by up to a half, and in the same direction for all tasks of a job.
constexpr double kNewestWeight = 0.03;
constexpr double kLeastSlowness = 0.1;
constexpr double kMostSlowness = 20.0;
/// Runs whose time deviates from the expected one by more than this factor are
/// outliers. Errors of estimates exceed it rarely, and those of two jobs in
/// succession hardly ever.
constexpr double kOutlierFactor = 2.2;
/// Number of outliers in succession that show a change of the target's speed.
constexpr int kOutliersOfChange = 2;
/// Weight of a run that shows a change.
constexpr double kChangeWeight = 0.4;
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
  const double deviation = std::log(ratio / slowness_);
  slowness_ *= std::exp(deviation * WeightOf(deviation));
}

double
gpTargetSpeed::WeightOf(double aDeviation)
{
  const int direction = aDeviation > 0 ? 1 : -1;
  if (std::abs(aDeviation) < std::log(kOutlierFactor)) {
    outliers_ = 0;
  } else if (outliers_ * direction < 0) {
    outliers_ = direction;
  } else {
    outliers_ += direction;
  }
  const double weight = std::max(kNewestWeight, 1.0 / (++runs_ + 1));
  return std::abs(outliers_) < kOutliersOfChange
           ? weight
           : std::max(weight, kChangeWeight);
}

void
gpTargetSpeed::NoteStopped(gpMillis aEstimate, gpMicros aTime)
{
  const double expected =
    slowness_ * static_cast<double>(gpMicros(aEstimate).count());
  if (static_cast<double>(aTime.count()) > expected) {
    NoteDone(aEstimate, aTime);
  }
}

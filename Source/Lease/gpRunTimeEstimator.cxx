#include "gpRunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace {

/// Number of jobs over which the average estimate of a queue is formed.
constexpr std::uint32_t kMostJobs = 200;
/// Weight of the queue's average in a prediction, if it's formed of many jobs.
constexpr double kAverageWeight = 0.5;
/// Number of jobs after which the queue's average has half of that weight.
constexpr double kFewJobs = 4.0;

} // namespace

gpMillis
gpRunTimeEstimator::Predict(const gpQueueName& aQueue, gpMillis aEstimate)
{
  if (aEstimate <= gpMillis(0)) {
    return aEstimate;
  }
  const double own = std::log(static_cast<double>(aEstimate.count()));
  Average& average = averages_[aQueue];
  const double known = average.count_;
  const double weight = kAverageWeight * known / (known + kFewJobs);
  const double predicted = own + weight * (average.logOfMs_ - own);
  average.count_ = std::min(average.count_ + 1, kMostJobs);
  average.logOfMs_ += (own - average.logOfMs_) / average.count_;
  return gpMillis(std::llround(std::exp(predicted)));
}

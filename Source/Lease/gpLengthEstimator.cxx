#include "gpLengthEstimator.h"

#include <algorithm>
#include <cmath>

namespace {

/// Number of jobs over which the average estimate of a queue is formed.
constexpr std::uint32_t kMostJobs = 200;
/// Weight of the queue's average in a prediction, if it's formed of many jobs.
constexpr double kUsualWeight = 0.5;
/// Number of jobs after which the queue's average has half of that weight.
constexpr double kFewJobs = 4.0;

} // namespace

gpMillis
gpLengthEstimator::Predict(const gpQueueName& aQueue, gpMillis aEstimate)
{
  if (aEstimate <= gpMillis(0)) {
    return aEstimate;
  }
  const double own = std::log(static_cast<double>(aEstimate.count()));
  Usual& usual = usual_[aQueue];
  const double known = usual.count_;
  const double weight = kUsualWeight * known / (known + kFewJobs);
  const double predicted = own + weight * (usual.logOfMs_ - own);
  usual.count_ = std::min(usual.count_ + 1, kMostJobs);
  usual.logOfMs_ += (own - usual.logOfMs_) / usual.count_;
  return gpMillis(std::llround(std::exp(predicted)));
}

#pragma once

#include <cstdint>
#include <map>

#include "gpQueueTable.h"

/** \class gpLengthEstimator
 * \brief Predicts how long a task takes on a target of usual speed.
 *
 * Pattern: shrinkage. Callers' estimates scatter about as much as the lengths
 * of one queue's tasks do, so the middle between an estimate and the usual one
 * of its queue, on a logarithmic scale, is off by less than either.
 */
class gpLengthEstimator
{
public:
  /// Takes an estimate into account and returns the prediction.
  gpMillis Predict(const gpQueueName& aQueue, gpMillis aEstimate);

private:
  struct Usual
  {
    double logOfMs_ = 0;
    std::uint32_t count_ = 0;
  };

  std::map<gpQueueName, Usual> usual_;
};

#pragma once

#include <cstdint>
#include <map>

#include "gpQueueTable.h"

/** \class gpRunTimeEstimator
 * \brief Predicts the run time of a task on a target of average speed.
 *
 * Pattern: shrinkage. Callers' estimates scatter about as much as the run times
 * of one queue's tasks do. So the mean of an estimate and the average estimate
 * of its queue, on a logarithmic scale, has a smaller error than either.
 */
class gpRunTimeEstimator
{
public:
  /// Predicts the run time of a task with this estimate, and then adds the
  /// estimate to the average of its queue.
  gpMillis Predict(const gpQueueName& aQueue, gpMillis aEstimate);

private:
  struct Average
  {
    double logOfMs_ = 0;
    std::uint32_t count_ = 0;
  };

  std::map<gpQueueName, Average> averages_;
};

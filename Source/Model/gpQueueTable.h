#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

using gpQueueName = gpStrongType<struct gpQueueNameTag, std::string>;

/** \class gpQueue
 * \brief Where callers submit jobs of one kind, as the operator configured it.
 */
struct gpQueue
{
  gpQueueName name_;
  /// Host name that the callers use.
  std::string host_;
  /// Beginning of the path; the longest one that fits wins.
  std::string prefix_;
  /// Whose targets run the tasks.
  gpServiceName service_;
  /// 0 comes first.
  std::uint32_t priority_ = 0;
  /// Runs of one task that may fail, at least 1.
  std::uint32_t maxAttempts_ = 1;
  /// A job's objective is so many times its longest chain of tasks ...
  double stretch_ = 1.0;
  /// ... and so much more.
  gpMillis allowance_{ 0 };
  /// No caller waits longer for an answer; 0 for no limit.
  gpMillis timeout_{ 0 };

  bool operator==(const gpQueue&) const = default;
};

/** \class gpQueueTable
 * \brief All queues of one version of the operator's configuration.
 */
struct gpQueueTable
{
  gpConfigVersion version_;
  std::vector<gpQueue> queues_;

  /// The queue of a request; null if there is none.
  const gpQueue* Find(std::string_view aHost, std::string_view aPath) const
  {
    const gpQueue* best = nullptr;
    for (const gpQueue& queue : queues_) {
      if (queue.host_ == aHost && aPath.starts_with(queue.prefix_) &&
          (best == nullptr || queue.prefix_.size() > best->prefix_.size())) {
        best = &queue;
      }
    }
    return best;
  }
};

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpQueue
 * \brief A queue of jobs: the path to which callers submit them, and how they
 * are run, as the operator configured it.
 */
struct gpQueue
{
  gpQueueName name_;
  /// Host name in the callers' requests.
  std::string host_;
  /// Prefix of the path in the callers' requests. If the prefixes of several
  /// queues match, the longest decides.
  std::string prefix_;
  /// The service whose targets run the tasks.
  gpServiceName service_;
  /// Whether the service's targets refuse a task that doesn't fit into their
  /// free capacity. Others start whatever they are told to.
  bool targetsEnforceCapacity_ = false;
  /// 0 is the highest priority.
  std::uint32_t priority_ = 0;
  /// The job fails when this many runs of one task have failed; at least 1.
  std::uint32_t maxAttempts_ = 1;
  /// The objective for a job's response time is stretch_ times the estimated
  /// time of its longest chain of dependent tasks, plus allowance_.
  double stretch_ = 1.0;
  gpMillis allowance_{ 0 };
  /// Upper limit of the time that callers wait for an answer; 0 for no limit.
  gpMillis timeout_{ 0 };

  bool operator==(const gpQueue&) const = default;
};

/** \class gpQueueTable
 * \brief The queues of one version of the operator's configuration.
 */
struct gpQueueTable
{
  gpConfigVersion version_;
  std::vector<gpQueue> queues_;

  /// The queue for a request with this host and path; null if there is none.
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

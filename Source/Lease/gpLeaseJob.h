#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"
#include "gpTime.h"

/** \class gpJobStep
 * \brief A step of a job: a number of tasks with the same requirements.
 */
struct gpJobStep
{
  /// Number of tasks, at least 1.
  std::uint32_t count_ = 1;
  gpResources needs_;
  /// Run time of one task as declared by the caller; may be off by a large
  /// factor.
  gpMillis estimate_{ 0 };
  /// Indexes (from 0) of earlier steps all of whose tasks must be done first.
  std::vector<std::uint32_t> dependsOn_;
};

/** \class gpLeaseJob
 * \brief A best-effort job as a caller submits it. It's never stored; the
 * caller's request is answered when the job has ended.
 */
struct gpLeaseJob
{
  /// ID chosen by the caller; the same if the job is submitted again.
  std::string id_;
  std::string host_;
  std::string path_;
  std::string spec_;
  std::vector<gpJobStep> steps_;
  /// How long the caller waits for the answer; 0 if not declared.
  gpMillis callerTimeout_{ 0 };

  /// Number of tasks of all steps.
  std::size_t CountTasks() const;
};

/// The ID of the job to which the task with this name belongs.
std::string
gpJobOfTask(const std::string& aTask);

/// How a best-effort job ended.
enum class gpLeaseOutcome
{
  Completed, ///< all tasks are done
  Failed,    ///< some tasks may have run; none is running any more
  Cancelled, ///< the caller cancelled it
  NotRun,    ///< no task was started, and none will be
  NoQueue,   ///< not run: the configuration has no such queue
};

/// Why a best-effort job has that outcome.
enum class gpLeaseReason
{
  None,
  NoConfiguration, ///< the entry has no configuration yet
  NoTarget,        ///< no target of the service accepts work
  TooLarge,        ///< a task needs more than any target's capacity
  Overloaded,      ///< it would start too late for its objective
  TooManyTasks,    ///< the entry has as many tasks as it may have
  QueueContained,  ///< the few targets for queues that crash targets are down
  ShuttingDown,    ///< the entry accepts no new jobs
  Duplicate,       ///< answer to a request whose job was submitted again
  TaskFailed,      ///< a task used up the queue's maximum of attempts
  TaskCrashes,     ///< a task has crashed its targets
  TaskSuspected,   ///< a task has probably crashed its targets
  TargetLost,      ///< the link to the guard of a running task was lost
  DeadlineExceeded,
  CallerGone,
};

/// The names of outcomes and reasons in logs and answers, such as "not_run".
std::string
gpLeaseOutcomeName(gpLeaseOutcome aOutcome);
std::string
gpLeaseReasonName(gpLeaseReason aReason);

/** \class gpLeaseAnswer
 * \brief The answer to a caller's submission.
 */
struct gpLeaseAnswer
{
  gpLeaseOutcome outcome_ = gpLeaseOutcome::NotRun;
  gpLeaseReason reason_ = gpLeaseReason::None;
  /// After what time the caller should retry; not set if a retry won't help.
  std::optional<gpMillis> retryAfter_;
};

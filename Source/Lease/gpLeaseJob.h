#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"
#include "gpTime.h"

/** \class gpJobStep
 * \brief Tasks of one kind within a job.
 */
struct gpJobStep
{
  /// Tasks of the step, at least 1.
  std::uint32_t count_ = 1;
  gpResources needs_;
  /// What the caller expects one task to take; may be far off.
  gpMillis estimate_{ 0 };
  /// Earlier steps, from 0, whose tasks must all be done first.
  std::vector<std::uint32_t> dependsOn_;
};

/** \class gpLeaseJob
 * \brief A best-effort job as a caller submits it: it's never stored, and its
 * answer is given when it has ended.
 */
struct gpLeaseJob
{
  /// The caller's ID; a repeated submission has the same.
  std::string id_;
  std::string host_;
  std::string path_;
  std::string spec_;
  std::vector<gpJobStep> steps_;
  /// How long the caller waits for the answer; 0 if it didn't say.
  gpMillis patience_{ 0 };
};

/// How a best-effort job ended.
enum class gpLeaseOutcome
{
  Completed, ///< all tasks are done
  Failed,    ///< some tasks may have run; none is at work any more
  Cancelled, ///< the caller gave it up
  NotRun,    ///< no task was started, and none will be
  NoQueue,   ///< not run: the configuration has no such queue
};

/// Why a best-effort job has that outcome.
enum class gpLeaseReason
{
  None,
  NoConfiguration, ///< the entry has no configuration yet
  NoTarget,        ///< no target of the service takes work
  TooLarge,        ///< no target could ever hold one of the tasks
  Overloaded,      ///< it would not be served within its objective
  ShuttingDown,    ///< the entry takes no new jobs
  Duplicate,       ///< the same job is in work at this entry
  TaskFailed,      ///< a task failed as often as the queue allows
  TargetLost,      ///< the guard of a running task was lost
  DeadlineExceeded,
  CallerGone,
};

/// The names of outcomes and reasons in logs and answers, such as "not_run".
std::string
gpLeaseOutcomeName(gpLeaseOutcome aOutcome);
std::string
gpLeaseReasonName(gpLeaseReason aReason);

/** \class gpLeaseAnswer
 * \brief What a caller is told of its job.
 */
struct gpLeaseAnswer
{
  gpLeaseOutcome outcome_ = gpLeaseOutcome::NotRun;
  gpLeaseReason reason_ = gpLeaseReason::None;
  /// When to come back; set if that makes sense.
  std::optional<gpMillis> retryAfter_;
};

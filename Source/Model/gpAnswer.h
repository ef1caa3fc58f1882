#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpTaskResult
 * \brief The response of the target to one task.
 */
struct gpTaskResult
{
  /// HTTP status of the response, 200 to 499.
  int status_ = 0;
  std::string body_;

  bool operator==(const gpTaskResult&) const = default;
};

/// What is known about the tasks of a job that did not complete.
enum class gpOutcome
{
  NotRun,  ///< no task was started, and none will be
  Failed,  ///< final; the tasks in gpFailure::mayHaveRun_ may have run
  Unknown, ///< not final; the caller may query the same submission key again
};

/// Why a job did not complete.
enum class gpFailureCode
{
  QueueFull,          ///< the service's queue at the entry is full
  QuotaExceeded,      ///< the team has reached gpTeamConfig::maxTasks_
  DeadlineUnmeetable, ///< the predicted response time exceeds the deadline
  DeadlineExceeded,   ///< the deadline passed before all tasks had ended
  UnknownService,     ///< the configuration has no such service
  UnknownTeam,        ///< no such team, or it may not use the service
  TooLarge,           ///< over a service or team limit; a retry can't succeed
  NoTarget,           ///< no usable target, or too many refused starts
  NoConfiguration,    ///< the entry has no configuration yet
  ClaimUnavailable,   ///< too few replicas of the key's partition answered
  ClaimLost,          ///< the claimant has ended, and no answer is stored
  ClaimUnreachable,   ///< the claimant doesn't answer, but may still run
  KeyReused,          ///< the key belongs to a submission with another body
  TaskFailed,         ///< a target reported an error
  TaskInDoubt,        ///< the guard of a task in flight was lost
  ShuttingDown,       ///< the entry is shutting down
  Cancelled,          ///< all callers disconnected, and the job has no key
  NotFound,           ///< no job with this key is known
};

/** \class gpFailure
 * \brief The answer to a job that did not complete.
 */
struct gpFailure
{
  gpFailureCode code_ = gpFailureCode::NoTarget;
  gpOutcome outcome_ = gpOutcome::NotRun;
  /// Tasks that may have run, ascending; empty if the outcome is NotRun.
  std::vector<gpTaskIndex> mayHaveRun_;
  /// Recommended delay before a retry; not set if a retry can't succeed.
  std::optional<gpMillis> retryAfter_;

  bool operator==(const gpFailure&) const = default;
};

/** \class gpComplete
 * \brief The answer to a job that completed: a result for every task, in the
 * order of the submission.
 */
struct gpComplete
{
  std::vector<gpTaskResult> results_;

  bool operator==(const gpComplete&) const = default;
};

using gpAnswer = std::variant<gpComplete, gpFailure>;

/// The name of an outcome in answers to callers, such as "not_run".
std::string_view
gpOutcomeName(gpOutcome aOutcome);
/// The name of a failure code in answers to callers, such as "queue_full".
std::string_view
gpFailureName(gpFailureCode aCode);

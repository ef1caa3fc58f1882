#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpTaskResult
 * \brief What the target answered to one task.
 */
struct gpTaskResult
{
  /// HTTP status of the target, 200 to 499.
  int status_ = 0;
  std::string body_;

  bool operator==(const gpTaskResult&) const = default;
};

/// What is certain about the tasks of a job that has no complete answer.
enum class gpOutcome
{
  NotRun,  ///< no task was started, and none will be
  Failed,  ///< final; the listed tasks may have run
  Unknown, ///< not settled; the same key may be asked again
};

/// Why a job has no complete answer.
enum class gpFailureCode
{
  QueueFull,          ///< no room to wait
  QuotaExceeded,      ///< the team's share is used up
  DeadlineUnmeetable, ///< the work ahead doesn't leave enough time
  DeadlineExceeded,   ///< the deadline passed before all tasks had ended
  UnknownService,     ///< the configuration has no such service
  UnknownTeam,        ///< the configuration has no such team
  TooLarge,           ///< over a limit of the service; never can run
  NoTarget,           ///< no target of the service is known
  NoConfiguration,    ///< the entry has no configuration yet
  ClaimUnavailable,   ///< too few holders of the claim answered
  ClaimLost,          ///< the claimant of the key is gone
  ClaimUnreachable,   ///< the claimant of the key doesn't answer
  KeyReused,          ///< the key belongs to a submission with another body
  TaskFailed,         ///< a target reported an error
  TaskInDoubt,        ///< a guard was lost with a task started
  ShuttingDown,       ///< the entry takes no new jobs
  Cancelled,          ///< the caller gave the job up
  NotFound,           ///< no job with this key is known
};

/** \class gpFailure
 * \brief The answer to a job that has no complete result.
 */
struct gpFailure
{
  gpFailureCode code_ = gpFailureCode::NoTarget;
  gpOutcome outcome_ = gpOutcome::NotRun;
  /// Tasks that may have run, ascending; empty if the outcome is NotRun.
  std::vector<gpTaskIndex> mayHaveRun_;
  /// When to ask again; not set where that makes no sense.
  std::optional<gpMillis> retryAfter_;

  bool operator==(const gpFailure&) const = default;
};

/** \class gpComplete
 * \brief The whole answer: a result for every task, in the submission's order.
 */
struct gpComplete
{
  std::vector<gpTaskResult> results_;

  bool operator==(const gpComplete&) const = default;
};

using gpAnswer = std::variant<gpComplete, gpFailure>;

/// The name of an outcome as callers see it, such as "not_run".
std::string_view
gpOutcomeName(gpOutcome aOutcome);
/// The name of a failure as callers see it, such as "queue_full".
std::string_view
gpFailureName(gpFailureCode aCode);

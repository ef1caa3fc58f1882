#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gpLoadPlan.h"
#include "gpTime.h"

/// The outcome of a job as its caller sees it.
enum class gpLoadOutcome
{
  Pending,    ///< no answer yet
  Complete,   ///< a result for each task
  NotRun,     ///< refused; no task was started
  Failed,     ///< final failure
  Unknown,    ///< not known yet how the job ended
  Transport,  ///< HTTP request failed or timed out
  Malformed,  ///< the answer has a gpAnswerFault
  Unanswered, ///< cancelled at the end of the run
  Unsent,     ///< not sent: too many jobs in flight, or end of the run
};

/// An error in an answer.
enum class gpAnswerFault
{
  None,
  NotJson,
  WrongStatus,    ///< HTTP status and outcome are inconsistent
  WrongCount,     ///< number of results differs from number of tasks
  WrongResult,    ///< a result is not that of its task
  NotRunMayRun,   ///< 'not run', but lists tasks that may have run
  UnknownOutcome, ///< the outcome is undefined
};

/// The name of an outcome in result files, such as "not_run".
std::string_view
gpLoadOutcomeName(gpLoadOutcome aOutcome);
/// The name of a fault in result files, such as "wrong_result".
std::string_view
gpAnswerFaultName(gpAnswerFault aFault);

/** \class gpLoadAnswer
 * \brief The parts of an entry's answer that the load tool uses.
 */
struct gpLoadAnswer
{
  gpLoadOutcome outcome_ = gpLoadOutcome::Malformed;
  /// Code of the failure; empty if the job is complete.
  std::string code_;
  /// Delay before the next submission, if the answer has one.
  std::optional<gpMillis> retryAfter_;
  /// If not None, the outcome is Malformed.
  gpAnswerFault fault_ = gpAnswerFault::None;
};

/// Parses and checks an answer. A complete one must have, for each task in
/// order, status 200 and the body "<submission>/<task>" that the stand-in
/// target returns. The submission of a job without a key is unknown, but must
/// be the same in all results.
gpLoadAnswer
gpReadLoadAnswer(int aStatus, std::string_view aBody, const gpPlannedJob& aJob);

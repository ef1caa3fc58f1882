#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gpLoadPlan.h"
#include "gpTime.h"

/// How a job ended, as its caller saw it.
enum class gpLoadOutcome
{
  Pending,    ///< no answer yet
  Complete,   ///< a result for each task
  NotRun,     ///< refused; nothing was started
  Failed,     ///< final failure
  Unknown,    ///< not settled
  Transport,  ///< the HTTP exchange broke off or timed out
  Malformed,  ///< an answer with a fault
  Unanswered, ///< given up at the end of the run
  Unsent,     ///< not sent, because too many jobs were in flight
};

/// What is wrong with an answer.
enum class gpAnswerFault
{
  None,
  NotJson,
  WrongStatus,    ///< HTTP status and outcome don't belong together
  WrongCount,     ///< not one result for each task
  WrongResult,    ///< a result that is not of its task
  NotRunMayRun,   ///< 'not run', yet tasks that may have run
  UnknownOutcome, ///< an outcome that isn't defined
};

/// The name of an outcome in result files, such as "not_run".
std::string_view
gpLoadOutcomeName(gpLoadOutcome aOutcome);
/// The name of a fault in result files, such as "wrong_result".
std::string_view
gpAnswerFaultName(gpAnswerFault aFault);

/** \class gpLoadAnswer
 * \brief An entry's answer, as far as the load tool looks at it.
 */
struct gpLoadAnswer
{
  gpLoadOutcome outcome_ = gpLoadOutcome::Malformed;
  /// The code of the failure; empty if the job is complete.
  std::string code_;
  /// When to come back, if the answer says so.
  std::optional<gpMillis> retryAfter_;
  /// If there is one, the outcome is Malformed.
  gpAnswerFault fault_ = gpAnswerFault::None;
};

/// Reads an answer and checks it: a complete one must hold, for each task in
/// order, status 200 and the body "<submission>/<task>" that the stand-in
/// target gives. The submission of a job without a key is unknown; its results
/// must agree on one.
gpLoadAnswer
gpReadLoadAnswer(int aStatus, std::string_view aBody, const gpPlannedJob& aJob);

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpLoadAnswer.h"
#include "gpTime.h"

/** \brief Plain aggregates that the load tool fills during a run.
 */

/** \class gpJobRecord
 * \brief The observed outcome of one job of the plan.
 */
struct gpJobRecord
{
  gpLoadOutcome outcome_ = gpLoadOutcome::Pending;
  /// Code of the last failure.
  std::string code_;
  /// Fault of the first faulty answer.
  gpAnswerFault fault_ = gpAnswerFault::None;
  /// From the planned arrival, even if the job was sent later, to the last
  /// answer.
  gpMicros response_{ 0 };
  /// Number of submissions sent.
  std::uint32_t attempts_ = 0;
};

/** \class gpRefusalRecord
 * \brief One 'not run' answer, final or followed by a new submission.
 */
struct gpRefusalRecord
{
  std::size_t job_ = 0;
  std::string code_;
  /// From the due time of the submission to the answer.
  gpMicros latency_{ 0 };
  /// Whether the answer has a retry_after_ms.
  bool hasRetryAfter_ = false;
};

/** \class gpLoadRecords
 * \brief All observations of a run.
 */
struct gpLoadRecords
{
  /// Same indexes as the jobs of the plan.
  std::vector<gpJobRecord> jobs_;
  std::vector<gpRefusalRecord> refusals_;
  /// Submissions that were sent to the next entry because an entry refused the
  /// connection before any byte was sent.
  std::uint64_t redirects_ = 0;
  /// Longest delay between the planned arrival of a job and its sending.
  gpMicros worstLag_{ 0 };
};

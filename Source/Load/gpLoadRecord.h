#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpLoadAnswer.h"
#include "gpTime.h"

/** \brief What the load tool saw of each job; filled while it runs.
 *
 * A family of plain aggregates shares this file.
 */

/** \class gpJobRecord
 * \brief How one job of the plan went.
 */
struct gpJobRecord
{
  gpLoadOutcome outcome_ = gpLoadOutcome::Pending;
  /// Code of the last failure.
  std::string code_;
  /// What was wrong with an answer, of the first one that was.
  gpAnswerFault fault_ = gpAnswerFault::None;
  /// From the planned arrival, whenever it was sent, to the last answer.
  gpMicros response_{ 0 };
  /// Submissions sent.
  std::uint32_t attempts_ = 0;
};

/** \class gpRefusalRecord
 * \brief One answer 'not run', final or followed by a new submission.
 */
struct gpRefusalRecord
{
  std::size_t job_ = 0;
  std::string code_;
  /// From the time at which the submission was due to the answer.
  gpMicros latency_{ 0 };
  /// Whether the answer said when to come back.
  bool saysWhen_ = false;
};

/** \class gpLoadRecords
 * \brief All that a run has seen.
 */
struct gpLoadRecords
{
  /// In the order of the plan.
  std::vector<gpJobRecord> jobs_;
  std::vector<gpRefusalRecord> refusals_;
  /// Submissions that an entry's address refused without a byte sent, and that
  /// went to the next one.
  std::uint64_t redirects_ = 0;
  /// The longest time by which a submission was sent late.
  gpMicros worstLag_{ 0 };
};

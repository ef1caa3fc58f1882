#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gpTime.h"
#include "gpTimelineReader.h"

/** \class gpRunTrace
 * \brief When a run of a task was handled by its entry and its guard. A time
 * that no log line tells is not set.
 */
struct gpRunTrace
{
  std::optional<gpTime> sentAt_;
  /// When the guard ordered the start from its target.
  std::optional<gpTime> startedAt_;
  /// When the guard saw the end.
  std::optional<gpTime> endedAt_;
};

/** \class gpJobTrace
 * \brief What became of one submission of a best-effort job at one entry.
 */
struct gpJobTrace
{
  /// "unknown" if no line names it.
  std::string queue_;
  gpTime arrivedAt_;
  bool isAdmitted_ = false;
  /// Response time up to which the answer is in time, as the entry predicted.
  gpMillis objective_{ 0 };
  std::optional<gpTime> answeredAt_;
  /// Outcome and reason, such as "failed deadline_exceeded"; "unanswered" if
  /// the log tells of no end.
  std::string outcome_ = "unanswered";
  /// Why the first of its tasks had to wait, such as "full"; empty if none
  /// did.
  std::string waitedFor_;
  /// Number of runs that were stopped as stragglers.
  std::size_t stragglers_ = 0;
  /// The run that was reported last.
  gpRunTrace lastRun_;

  bool IsCompleted() const { return outcome_ == "completed none"; }
  bool IsLate() const
  {
    return IsCompleted() && *answeredAt_ - arrivedAt_ > objective_;
  }
};

/// The submissions that event logs tell of, in the order of their arrival.
/// Times are those of the processes' clocks, so a difference between two
/// processes contains the difference of their clocks.
std::vector<gpJobTrace>
gpTraceJobs(std::vector<gpTimelineRecord> aRecords);

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gpJobTrace.h"
#include "gpPercentiles.h"

/** \class gpJobCounts
 * \brief What became of a number of jobs.
 */
struct gpJobCounts
{
  std::size_t submitted_ = 0;
  std::size_t admitted_ = 0;
  std::size_t inTime_ = 0;
  /// Completed after the objective that the entry predicted.
  std::size_t late_ = 0;
  /// Jobs that were not completed, by outcome and reason.
  std::map<std::string, std::size_t> notCompleted_;

  void Add(const gpJobTrace& aJob);
  /// Number of jobs with this outcome, whatever the reason.
  std::size_t CountOutcome(const std::string& aOutcome) const;
};

/** \class gpPhaseTimes
 * \brief The time of completed jobs, split by what they waited for. All but
 * total_ are of the run that was reported last.
 */
struct gpPhaseTimes
{
  /// From arrival until the run was sent.
  gpPercentiles waiting_;
  /// From there until the guard ordered the start.
  gpPercentiles order_;
  /// From there until the guard saw the end.
  gpPercentiles run_;
  /// From there until the caller was answered.
  gpPercentiles answer_;
  gpPercentiles total_;
};

/** \class gpQueueExplanation
 * \brief The jobs of one queue.
 */
struct gpQueueExplanation
{
  gpJobCounts counts_;
  gpPhaseTimes times_;
  /// Number of jobs that had to wait, by cause.
  std::map<std::string, std::size_t> waitedFor_;
  /// Runs that were stopped as stragglers, and the jobs with such a run that
  /// were completed in time all the same.
  std::size_t stragglers_ = 0;
  std::size_t savedByStraggler_ = 0;
  /// The counts by arrival, in seconds since the first job of the log.
  std::map<std::size_t, gpJobCounts> bySecond_;
};

/// The explanation of each queue, by its name.
using gpExplanation = std::map<std::string, gpQueueExplanation>;

gpExplanation
gpExplain(const std::vector<gpJobTrace>& aJobs);

/// The explanation as tables for a terminal.
std::string
gpExplanationText(const gpExplanation& aExplanation);
/// The same as a JSON object; times are in microseconds.
std::string
gpExplanationJson(const gpExplanation& aExplanation);
/// A chart of one queue over time, as SVG: jobs in time, late, refused and
/// failed in each second.
std::string
gpExplanationChart(const std::string& aName, const gpQueueExplanation& aQueue);

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gpLoadPlan.h"
#include "gpLoadRecord.h"
#include "gpMessageCounts.h"
#include "gpPercentiles.h"

/** \brief What a run comes to, as its result file says.
 *
 * A family of plain aggregates shares this file.
 */

/** \class gpJobGroup
 * \brief Jobs that are judged together: all, those of a team or of a size.
 */
struct gpJobGroup
{
  /// "all", "team" or "size".
  std::string kind_;
  std::string name_;
  std::uint64_t jobs_ = 0;
  /// Jobs by the name of their outcome.
  std::map<std::string, std::uint64_t> outcomes_;
  /// Share of the work of its jobs that was completed.
  double completedShare_ = 0.0;
  /// Jobs that were accepted: all that ended neither 'not run' nor unsent.
  gpPercentiles accepted_;
  /// Jobs that are complete.
  gpPercentiles response_;
  /// Lower bounds for response_, from gpIdealSchedule.
  gpPercentiles bound_;
};

/** \class gpReferenceResult
 * \brief What a list schedule without overhead reaches for the same jobs.
 */
struct gpReferenceResult
{
  std::string name_;
  gpPercentiles response_;
};

/** \class gpLoadSecond
 * \brief The jobs that arrived in one second of the run.
 */
struct gpLoadSecond
{
  std::uint64_t jobs_ = 0;
  std::uint64_t complete_ = 0;
  std::uint64_t refused_ = 0;
  /// 99th percentile of the response times of those complete.
  gpMicros p99_{ 0 };
};

/** \class gpHistogramBin
 * \brief Completed jobs with a response time up to a limit.
 */
struct gpHistogramBin
{
  gpMicros upTo_{ 0 };
  std::uint64_t jobs_ = 0;
};

/** \class gpLoadResult
 * \brief The judgement of one run.
 */
struct gpLoadResult
{
  std::string experiment_;
  /// What sets this run apart, such as the policy.
  std::string label_;
  std::uint64_t seed_ = 0;
  double timeScale_ = 1.0;
  gpMillis duration_{ 0 };
  /// Seconds of run time at speed 1 that the slots do in a second.
  double capacity_ = 0.0;
  /// Share of the capacity that the plan asks for, without bursts.
  double load_ = 0.0;
  /// Share of the capacity that the planned jobs come to, with bursts.
  double offered_ = 0.0;
  /// Work of the jobs completed between warm-up and the last arrival, as a
  /// share of the capacity.
  double goodput_ = 0.0;
  std::uint64_t tasks_ = 0;
  std::uint64_t resubmissions_ = 0;
  std::uint64_t redirects_ = 0;
  gpMicros worstLag_{ 0 };
  /// Answers by what was wrong with them.
  std::map<std::string, std::uint64_t> faults_;
  /// Final failures and refusals by code.
  std::map<std::string, std::uint64_t> codes_;
  /// Refusals, those followed by a new submission included.
  std::map<std::string, std::uint64_t> refusalsByCode_;
  std::uint64_t refusalsThatSayWhen_ = 0;
  gpPercentiles refusals_;
  std::vector<gpJobGroup> groups_;
  std::vector<gpReferenceResult> references_;
  std::vector<gpLoadSecond> seconds_;
  std::vector<gpHistogramBin> histogram_;
  gpMessageReport messages_;

  std::uint64_t WrongAnswers() const;
  /// The group of all jobs.
  const gpJobGroup& All() const;
};

/// Judges a run from its plan and what was seen of it. The messages are added
/// by gpAddMessages.
gpLoadResult
gpJudgeRun(const gpLoadPlan& aPlan,
           const gpLoadRecords& aRecords,
           const std::string& aLabel);

/// Adds the messages that the processes counted between start and end of the
/// run, and the calls that the tool made.
void
gpAddMessages(const gpLoadPlan& aPlan,
              const gpLoadRecords& aRecords,
              gpMessageCounts aCounts,
              std::uint64_t aUnread,
              gpLoadResult& aResult);

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gpLoadPlan.h"
#include "gpLoadRecord.h"
#include "gpMessageCounts.h"
#include "gpPercentiles.h"

/** \brief Plain aggregates for the evaluation of a run, as stored in its
 * result file.
 */

/** \class gpJobGroup
 * \brief Statistics of a group of jobs: all, those of a team or of a size.
 */
struct gpJobGroup
{
  /// "all", "team" or "size".
  std::string kind_;
  std::string name_;
  std::uint64_t jobs_ = 0;
  /// Number of jobs by the name of their outcome.
  std::map<std::string, std::uint64_t> outcomes_;
  /// Completed work as a share of the work of all jobs of the group.
  double completedShare_ = 0.0;
  /// Response times of accepted jobs: all but those 'not run' or unsent.
  gpPercentiles accepted_;
  /// Response times of complete jobs.
  gpPercentiles response_;
  /// Lower bounds of response_, from gpIdealSchedule.
  gpPercentiles bound_;
};

/** \class gpReferenceResult
 * \brief Response times of a list schedule without overhead for the same jobs.
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
  /// 99th percentile of the response times of the complete jobs.
  gpMicros p99_{ 0 };
};

/** \class gpHistogramBin
 * \brief Number of completed jobs in a range of response times.
 */
struct gpHistogramBin
{
  /// Upper limit of the range.
  gpMicros upTo_{ 0 };
  std::uint64_t jobs_ = 0;
};

/** \class gpLoadResult
 * \brief The evaluation of one run.
 */
struct gpLoadResult
{
  std::string experiment_;
  /// Name of the run in the report, such as the policy.
  std::string label_;
  std::uint64_t seed_ = 0;
  double timeScale_ = 1.0;
  gpMillis duration_{ 0 };
  /// Seconds of run time at speed 1 that all slots complete in a second.
  double capacity_ = 0.0;
  /// Load that the experiment sets, as a share of the capacity, without bursts.
  double load_ = 0.0;
  /// Work of the planned jobs as a share of the capacity, with bursts.
  double offered_ = 0.0;
  /// Work of the jobs completed between the end of the warm-up and the end of
  /// the arrivals, as a share of the capacity.
  double goodput_ = 0.0;
  std::uint64_t tasks_ = 0;
  std::uint64_t resubmissions_ = 0;
  std::uint64_t redirects_ = 0;
  gpMicros worstLag_{ 0 };
  /// Number of faulty answers by name of the fault.
  std::map<std::string, std::uint64_t> faults_;
  /// Number of final failures and refusals by code.
  std::map<std::string, std::uint64_t> codes_;
  /// Number of refusals by code, including those followed by a new submission.
  std::map<std::string, std::uint64_t> refusalsByCode_;
  /// Refusals whose answer has a retry_after_ms; "that_say_when" in result
  /// files.
  std::uint64_t refusalsWithRetryAfter_ = 0;
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

/// Evaluates a run from its plan and its records. gpAddMessages adds the
/// messages.
gpLoadResult
gpEvaluateRun(const gpLoadPlan& aPlan,
              const gpLoadRecords& aRecords,
              const std::string& aLabel);

/// Adds the messages that the processes counted between start and end of the
/// run, and the calls of the load tool. aUnread is the number of processes
/// whose metrics could not be read both before and after the run.
void
gpAddMessages(const gpLoadPlan& aPlan,
              const gpLoadRecords& aRecords,
              gpMessageCounts aCounts,
              std::uint64_t aUnread,
              gpLoadResult& aResult);

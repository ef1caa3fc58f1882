#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpLoadPlan.h"
#include "gpLoadRecord.h"
#include "gpTime.h"
#include "gpTimerService.h"

/** \class gpLoadRunnerSettings
 * \brief The entries and the limits of a run.
 */
struct gpLoadRunnerSettings
{
  /// Used round robin, as by a load balancer; at least one.
  std::vector<gpAddress> entries_;
  /// Most submissions of one job, including the first. If more than 1, a job is
  /// submitted again with the same key when a refusal has a retry_after_ms, or
  /// when its answer is lost or unknown.
  std::uint32_t attempts_ = 1;
  /// Most jobs in flight; further jobs that arrive are never sent.
  std::size_t jobsInFlight_ = 20000;
};

/** \class gpLoadProgress
 * \brief Counts of jobs in a running experiment, for the progress output.
 */
struct gpLoadProgress
{
  std::uint64_t arrived_ = 0;
  std::uint64_t inFlight_ = 0;
  std::uint64_t complete_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t others_ = 0;
};

/** \class gpLoadRunner
 * \brief Sends the jobs of a plan in an open loop, and records their answers.
 *
 * Jobs are sent at their planned arrival, up to a limit of jobs in flight. The
 * response time is measured from the planned arrival even if a job is sent
 * late. The run ends when all jobs have ended, or two deadlines and a margin
 * after the end of the arrivals.
 */
class gpLoadRunner
{
public:
  gpLoadRunner(gpTimerService& aTimers,
               gpHttpClient& aHttp,
               const gpLoadPlan& aPlan,
               gpLoadRunnerSettings aSettings);

  /// Starts the run; calls the handler once, when the run has ended.
  void Start(std::function<void()> aOnEnded);
  /// Ends the run; jobs that haven't ended become Unanswered or Unsent.
  void Finish();
  const gpLoadRecords& GetRecords() const { return records_; }
  gpLoadProgress GetProgress() const;

private:
  /// One submission of a job.
  struct Submission
  {
    std::size_t job_ = 0;
    /// Planned arrival, or time of the resubmission.
    gpTime due_;
    /// Index of the first entry to call, not yet modulo the number of entries,
    /// and the number of entries that refused the connection so far.
    std::size_t firstEntry_ = 0;
    std::size_t refused_ = 0;
  };

  void SendDue();
  void Submit(std::size_t aJob, gpTime aDue);
  void Call(const Submission& aSubmission);
  void OnReply(const Submission& aSubmission, const gpHttpReply& aReply);
  void OnAnswer(const Submission& aSubmission, const gpHttpResponse& aResponse);
  void OnRefused(const Submission& aSubmission, const gpLoadAnswer& aAnswer);
  bool SubmitAgain(std::size_t aJob, gpMillis aPause);
  void End(std::size_t aJob, gpLoadOutcome aOutcome);
  gpTime ArrivalOf(std::size_t aJob) const;

  gpTimerService& timers_;
  gpHttpClient& http_;
  const gpLoadPlan& plan_;
  gpLoadRunnerSettings settings_;
  std::function<void()> onEnded_;
  gpLoadRecords records_;
  gpTime start_;
  /// Index of the first job that hasn't arrived yet.
  std::size_t next_ = 0;
  std::size_t inFlight_ = 0;
  /// Entry of the next submission, not yet modulo the number of entries.
  std::size_t nextEntry_ = 0;
  bool hasEnded_ = false;
  std::set<gpCallId> calls_;
  std::set<gpTimerId> timerIds_;
  gpLoadProgress progress_;
};

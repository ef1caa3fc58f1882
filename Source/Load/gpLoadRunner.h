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
 * \brief Where a run sends its jobs, and its bounds.
 */
struct gpLoadRunnerSettings
{
  /// Taken in turn, as a balancer would; at least one.
  std::vector<gpAddress> entries_;
  /// Submissions of one job, the first one included. More than 1: a job is
  /// submitted again, with the same key, when a refusal says when to come back,
  /// or when its answer is lost or unknown.
  std::uint32_t attempts_ = 1;
  /// Jobs in flight; a job that arrives over it is not sent at all.
  std::size_t jobsInFlight_ = 20000;
};

/** \class gpLoadProgress
 * \brief Counts of a run so far.
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
 * Jobs are sent at their planned arrival, however many are in flight, and
 * their response time counts from there even if they are sent late. The run
 * ends when all jobs have ended, or two deadlines after the last arrival.
 */
class gpLoadRunner
{
public:
  gpLoadRunner(gpTimerService& aTimers,
               gpHttpClient& aHttp,
               const gpLoadPlan& aPlan,
               gpLoadRunnerSettings aSettings);

  /// Calls the handler once, when the run has ended.
  void Start(std::function<void()> aEnded);
  /// Ends the run now; jobs that haven't ended are Unanswered or Unsent.
  void Finish();
  const gpLoadRecords& GetRecords() const { return records_; }
  gpLoadProgress GetProgress() const;

private:
  /// One submission of a job.
  struct Submission
  {
    std::size_t job_ = 0;
    /// When it was due.
    gpTime due_;
    /// Entry that is called first, and how many refused a connection so far.
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
  std::function<void()> ended_;
  gpLoadRecords records_;
  gpTime start_;
  /// First job that hasn't arrived yet.
  std::size_t next_ = 0;
  std::size_t open_ = 0;
  /// Entry whose turn it is; not yet taken modulo their number.
  std::size_t turn_ = 0;
  bool hasEnded_ = false;
  std::set<gpCallId> calls_;
  std::set<gpTimerId> waits_;
  gpLoadProgress progress_;
};

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gpPlatformCluster.h"
#include "gpSoakRecord.h"

/** \class gpSoakCallers
 * \brief Simulated callers: they submit jobs, disconnect now and then before
 * the answer, and submit a job again, at an entry drawn anew, when they don't
 * know its result.
 */
class gpSoakCallers
{
public:
  gpSoakCallers(gpPlatformCluster& aCluster,
                std::uint64_t aSeed,
                gpMillis aPause);

  /// Submits new jobs and retries that are due, to entries for which
  /// aAcceptsJobs returns true.
  void SubmitDue(const std::function<bool(std::size_t)>& aAcceptsJobs);
  /// Submits a new job to that entry.
  void SubmitTo(std::size_t aEntry);
  /// Lets the requests of up to aCount completed jobs arrive once more, soon,
  /// at any entry.
  void RepeatCompleted(std::size_t aCount);
  /// Records answers that have arrived, and disconnects callers that are due
  /// to leave.
  void Poll();
  bool IsWaiting() const { return !calls_.empty(); }
  /// Whether a job that was submitted to the entry at aSince or later has been
  /// completed.
  bool IsServedBy(std::size_t aEntry, gpTime aSince) const;
  const std::vector<gpSoakSubmission>& GetSubmissions() const
  {
    return submissions_;
  }
  std::string Summary() const;

private:
  struct Job
  {
    std::string id_;
    int tasks_ = 1;
    gpMillis runTime_{ 0 };
  };
  struct Call
  {
    Job job_;
    gpSoakSubmission submission_;
    gpTestCall call_;
    gpTime disconnectsAt_ = gpTime::max();
  };
  struct Retry
  {
    Job job_;
    gpTime dueAt_;
  };

  Job DrawJob();
  std::optional<std::size_t> DrawEntry(
    const std::function<bool(std::size_t)>& aAcceptsJobs);
  void Submit(const Job& aJob, std::size_t aEntry, bool aMayDisconnect);
  void Finish(Call& aCall, gpSoakOutcome aOutcome);

  gpPlatformCluster& cluster_;
  std::mt19937_64 generator_;
  gpMillis pause_;
  gpTime nextAt_;
  std::uint64_t jobs_ = 0;
  std::vector<Call> calls_;
  std::vector<Retry> retries_;
  /// The jobs that were completed last.
  std::deque<Job> completed_;
  std::vector<gpSoakSubmission> submissions_;
};

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gpPlatformCluster.h"
#include "gpSoakRecord.h"

/** \class gpSoakCallers
 * \brief Callers that submit jobs, leave now and then, and try once more at
 * another entry when they don't know what became of a job.
 */
class gpSoakCallers
{
public:
  gpSoakCallers(gpPlatformCluster& aCluster,
                std::uint64_t aSeed,
                gpMillis aPause);

  /// Submits what is due, to entries that aTakes.
  void SubmitDue(const std::function<bool(std::size_t)>& aTakes);
  /// Submits a new job to that entry.
  void SubmitTo(std::size_t aEntry);
  /// Takes the answers that have come.
  void Poll();
  bool IsWaiting() const { return !calls_.empty(); }
  /// Whether a job that was sent to the entry since then was completed.
  bool IsServedBy(std::size_t aEntry, gpTime aSince) const;
  const std::vector<gpSoakAttempt>& GetAttempts() const { return attempts_; }
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
    gpSoakAttempt attempt_;
    gpTestCall call_;
    gpTime leavesAt_ = gpTime::max();
  };
  struct Retry
  {
    Job job_;
    gpTime dueAt_;
  };

  Job DrawJob();
  std::optional<std::size_t> DrawEntry(
    const std::function<bool(std::size_t)>& aTakes);
  void Submit(const Job& aJob, std::size_t aEntry, bool aMayLeave);
  void Finish(Call& aCall, gpSoakOutcome aOutcome);

  gpPlatformCluster& cluster_;
  std::mt19937_64 dice_;
  gpMillis pause_;
  gpTime nextAt_;
  std::uint64_t jobs_ = 0;
  std::vector<Call> calls_;
  std::vector<Retry> retries_;
  std::vector<gpSoakAttempt> attempts_;
};

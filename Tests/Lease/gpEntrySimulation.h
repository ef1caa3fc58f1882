#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gpLeaseEntryReducer.h"

/** \class gpEntrySimulationOptions
 * \brief The guards linked with a simulated entry, and the load of its callers.
 */
struct gpEntrySimulationOptions
{
  std::size_t guards_ = 57;
  /// Capacity of each target, in thousandths of a core.
  std::uint64_t milliCores_ = 8000;
  double jobsPerSecond_ = 150;
  std::uint32_t tasksOfJob_ = 8;
  gpResources needs_{ 2700, 64, 0 };
  gpMillis estimate_{ 60 };
  /// Period in which each guard sends a capacity report if its free capacity
  /// has changed and no other message was sent.
  gpMillis reportPeriod_{ 36 };
  std::uint32_t seed_ = 1;
};

/** \class gpEntrySimulation
 * \brief Drives the reducer of one entry in simulated time, with guards that
 * run what they are ordered and callers that submit jobs at a fixed mean rate.
 */
class gpEntrySimulation
{
public:
  explicit gpEntrySimulation(const gpEntrySimulationOptions& aOptions);

  void RunFor(gpMillis aTime);

  std::size_t CountEvents() const { return events_; }
  /// Number of submitted jobs.
  std::uint64_t CountJobs() const { return jobs_; }
  std::size_t CountAnswers(gpLeaseOutcome aOutcome) const;
  const gpLeaseEntryReducer& GetEntry() const { return entry_; }

private:
  struct Guard
  {
    gpLinkId link_;
    gpResources free_;
    std::uint64_t ordered_ = 0;
    double slowness_ = 1.0;
    /// Free capacity in the last capacity report.
    gpResources sentFree_;
  };

  void Feed(decltype(gpLeaseEntryEvent::input_) aInput);
  void CarryOut(const gpLeaseEffect& aEffect);
  void At(gpTime aTime, std::function<void()> aAction);
  void StartRuns(Guard& aGuard, const gpRunOrder& aOrder);
  void EndRun(Guard& aGuard, const gpRunId& aRun, const gpResources& aNeeds);
  void SendCapacity(Guard& aGuard);
  void SendCapacityPeriodically(Guard& aGuard);
  void Submit();

  gpEntrySimulationOptions options_;
  gpLeaseEntryReducer entry_;
  gpTime now_{ gpMillis(1000) };
  std::multimap<gpTime, std::function<void()>> agenda_;
  std::vector<Guard> guards_;
  std::map<gpLeaseOutcome, std::size_t> answers_;
  std::mt19937 random_;
  std::size_t events_ = 0;
  std::uint64_t jobs_ = 0;
};

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

/** \class gpEntryWorldOptions
 * \brief The fleet of one entry, and what its callers send.
 */
struct gpEntryWorldOptions
{
  std::size_t guards_ = 57;
  /// Processor of each target that the entry gets, in thousandths of a core.
  std::uint64_t milliCores_ = 8000;
  double jobsPerSecond_ = 150;
  std::uint32_t tasksOfJob_ = 8;
  gpResources needs_{ 2700, 64, 0 };
  gpMillis estimate_{ 60 };
  /// How often each guard tells its free room if nothing else is sent.
  gpMillis roomPeriod_{ 36 };
  std::uint32_t seed_ = 1;
};

/** \class gpEntryWorld
 * \brief Drives the decisions of one entry on simulated time: guards that run
 * what they are ordered, and callers that submit at a fixed rate.
 */
class gpEntryWorld
{
public:
  explicit gpEntryWorld(const gpEntryWorldOptions& aOptions);

  void Play(gpMillis aTime);

  std::size_t CountEvents() const { return events_; }
  /// Jobs that callers submitted.
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
    /// What this entry was told last.
    gpResources told_;
  };

  void Feed(decltype(gpLeaseEntryEvent::input_) aInput);
  void Carry(const gpLeaseEffect& aEffect);
  void At(gpTime aTime, std::function<void()> aAction);
  void StartRuns(Guard& aGuard, const gpRunOrder& aOrder);
  void EndRun(Guard& aGuard, const gpRunId& aRun, const gpResources& aNeeds);
  void TellRoom(Guard& aGuard);
  void TellRoomAgain(Guard& aGuard);
  void Submit();

  gpEntryWorldOptions options_;
  gpLeaseEntryReducer entry_;
  gpTime now_{ gpMillis(1000) };
  std::multimap<gpTime, std::function<void()>> agenda_;
  std::vector<Guard> guards_;
  std::map<gpLeaseOutcome, std::size_t> answers_;
  std::mt19937 random_;
  std::size_t events_ = 0;
  std::uint64_t jobs_ = 0;
};

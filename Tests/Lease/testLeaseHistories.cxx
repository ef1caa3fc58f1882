#define BOOST_TEST_MODULE gpLeaseHistories
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <iostream>
#include <string>

#include "gpLeaseHistory.h"
#include "gpNumberFromEnvironment.h"

namespace {

/// What happened in all histories of a run.
struct Totals
{
  std::size_t startsBesideStops_ = 0;
  std::size_t giverKills_ = 0;
  std::size_t deadlyCrashes_ = 0;
};

/// Whether a history is known to fail on this processor (KNOWN-RED.txt) and
/// wasn't asked for by its seed.
bool
IsPassedOver([[maybe_unused]] const gpLeaseHistoryOptions& aOptions)
{
#ifdef __x86_64__
  constexpr std::uint64_t kKnownRedSeed = 345;
  return aOptions.foreignRecords_ && aOptions.seed_ == kKnownRedSeed &&
         gpNumberFromEnvironment("GP_HISTORY_SEED", 0) == 0;
#else
  return false;
#endif
}

/// Runs histories of consecutive seeds.
Totals
RunHistories(gpLeaseHistoryOptions aOptions, std::uint64_t aDefaultCount)
{
  const std::uint64_t first = gpNumberFromEnvironment("GP_HISTORY_SEED", 1);
  const std::uint64_t count =
    gpNumberFromEnvironment("GP_HISTORY_COUNT", aDefaultCount);
  std::size_t starts = 0;
  std::size_t completed = 0;
  std::size_t moves = 0;
  std::size_t wronglyGivenUp = 0;
  Totals totals;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    aOptions.seed_ = seed;
    if (IsPassedOver(aOptions)) {
      std::cout << "known to fail, not run: seed " << seed << std::endl;
      continue;
    }
    gpLeaseHistory history(aOptions);
    const std::vector<std::string> broken = history.Run();
    starts += history.CountStarts();
    completed += history.CountCompleted();
    moves += history.CountMoves();
    wronglyGivenUp += history.CountWronglyGivenUp();
    totals.startsBesideStops_ += history.CountStartsBesideStops();
    totals.giverKills_ += history.CountGiverKills();
    totals.deadlyCrashes_ += history.CountDeadlyCrashes();
    if (!broken.empty()) {
      BOOST_FAIL(broken.front());
    }
  }
  BOOST_TEST_MESSAGE(count << " histories: " << starts << " starts, "
                           << completed << " jobs complete, " << moves
                           << " links moved, " << wronglyGivenUp
                           << " jobs wrongly given up");
  const bool hasSubsets = aOptions.links_ < aOptions.entries_;
  BOOST_TEST((moves > 0) == hasSubsets);
  BOOST_TEST(starts > count);
  BOOST_TEST(completed > count);
  return totals;
}

/// A tenth of the jobs of one queue have a task that crashes each target that
/// starts it.
gpLeaseHistoryOptions
MakeDeadlyOptions()
{
  gpLeaseHistoryOptions options;
  options.guards_ = 11;
  options.length_ = gpMillis(8000);
  options.lostOrders_ = 0;
  options.deadlyJobs_ = 100;
  options.resubmitsFailed_ = true;
  options.peerLinks_ = true;
  return options;
}

/// Times after their start at which tasks crash their targets late, when their
/// guards have started other runs.
constexpr std::array kLateCrashes{ gpMillis(25), gpMillis(100), gpMillis(300) };

gpLeaseHistoryOptions
MakeLateCrashOptions(gpMillis aCrashDelay)
{
  gpLeaseHistoryOptions options = MakeDeadlyOptions();
  options.crashDelay_ = aCrashDelay;
  return options;
}

/// Checks in 20 histories without other faults that deadly tasks of one queue
/// don't keep the jobs of the other queue from being served.
void
CheckOtherQueueIsServed(gpLeaseHistoryOptions aOptions)
{
  constexpr double kLeastShare = 0.9;
  aOptions.faultPause_ = gpMillis(0);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    aOptions.seed_ = seed;
    gpLeaseHistory history(aOptions);
    history.Run();
    const auto jobs = static_cast<double>(history.CountFirstQueueJobs());
    const auto completed =
      static_cast<double>(history.CountFirstQueueCompleted());
    BOOST_TEST_MESSAGE("seed " << seed << ": " << completed << " of " << jobs
                               << " jobs, " << history.CountDeadlyCrashes()
                               << " crashes");
    BOOST_TEST(history.CountDeadlyCrashes() > 0U);
    BOOST_TEST(completed >= kLeastShare * jobs);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(HistoriesWithoutFaultsComplete)
{
  gpLeaseHistoryOptions options;
  options.faultPause_ = gpMillis(0);
  options.lostOrders_ = 0;
  options.length_ = gpMillis(1500);
  RunHistories(options, 200);
}

BOOST_AUTO_TEST_CASE(HistoriesWithFaultsKeepTheInvariants)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(2500);
  RunHistories(options, 10000);
}

// The promises are the invariants that gpLeaseHistory checks.
BOOST_AUTO_TEST_CASE(HistoriesWithManyLostOrdersKeepThePromises)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(2500);
  options.lostOrders_ = 400;
  RunHistories(options, 1000);
}

BOOST_AUTO_TEST_CASE(HistoriesWithUnreachableTargetsKeepTheInvariants)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(2500);
  options.targetCuts_ = true;
  RunHistories(options, 1000);
}

// Guards against a second run of a task at one time, as its guard renews the
// lease of the first one while its stops get no answer.
BOOST_AUTO_TEST_CASE(HistoriesWithHangingStopsKeepThePromises)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(4000);
  options.hangingStops_ = true;
  options.resubmitsFailed_ = true;
  RunHistories(options, 1000);
}

// Guards against a second run of a task at one time, after a heartbeat that the
// target has not written, or not now, was taken for the end of its life.
BOOST_AUTO_TEST_CASE(HistoriesWithForeignHeartbeatsKeepThePromises)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(2500);
  options.foreignHeartbeats_ = true;
  RunHistories(options, 1000);
}

// Guards against a second run of a task at one time, after a record of another
// writer was believed: an entry's second address, or a target of another guard.
BOOST_AUTO_TEST_CASE(HistoriesWithForeignRecordsKeepThePromises)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(2500);
  options.foreignHeartbeats_ = true;
  options.foreignRecords_ = true;
  RunHistories(options, 1000);
}

// Guards against a job that starts again after it was cancelled, at any entry,
// when its request arrives once more, at any entry.
BOOST_AUTO_TEST_CASE(HistoriesWithRepeatedRequestsKeepCancelledJobsEnded)
{
  gpLeaseHistoryOptions options;
  options.entries_ = 3;
  options.length_ = gpMillis(6000);
  options.repeats_ = true;
  options.peerLinks_ = true;
  // The platform exempts orders that a target carries out late.
  options.lostOrders_ = 0;
  RunHistories(options, 300);
}

// Guards link with only some of the entries. They replace entries that are
// killed or frozen, and link with them again when these are back.
BOOST_AUTO_TEST_CASE(HistoriesWithSubsetsOfEntriesKeepTheInvariants)
{
  gpLeaseHistoryOptions options;
  options.entries_ = 6;
  options.guards_ = 4;
  options.links_ = 2;
  options.length_ = gpMillis(5000);
  RunHistories(options, 1000);
}

// Guards against a start that brings a target over a capacity that has shrunk,
// also while its guard was restarted. The simulated targets start whatever they
// are told to.
BOOST_AUTO_TEST_CASE(HistoriesWithChangingCapacitiesKeepTheLimits)
{
  gpLeaseHistoryOptions options;
  options.length_ = gpMillis(5000);
  options.capacityChanges_ = true;
  // The platform exempts orders that a target carries out late.
  options.lostOrders_ = 0;
  RunHistories(options, 1000);
}

// Guards against a start into the room of a run that is still being stopped.
BOOST_AUTO_TEST_CASE(HistoriesWithABurstBesideShrunkTargetsKeepTheLimits)
{
  gpLeaseHistoryOptions options;
  options.guards_ = 4;
  options.length_ = gpMillis(6000);
  options.faultPause_ = gpMillis(0);
  options.lostOrders_ = 0;
  options.shrunkBurst_ = true;
  options.slowestStop_ = gpMillis(50);
  BOOST_TEST(RunHistories(options, 200).startsBesideStops_ > 0U);
}

// Guards against a task that is placed again each time after it has crashed its
// target, as the run counts as stopped and a repeated submission as a new job.
BOOST_AUTO_TEST_CASE(HistoriesWithDeadlyTasksGiveThemUp)
{
  RunHistories(MakeDeadlyOptions(), 100);
}

// Guards against one queue whose tasks crash targets as fast as they return, so
// that no queue is served.
BOOST_AUTO_TEST_CASE(HistoriesWithDeadlyTasksServeTheOtherQueue)
{
  CheckOtherQueueIsServed(MakeDeadlyOptions());
}

// Guards against a count that knows only tasks that crash their target at once:
// the others crash one target after the other.
BOOST_AUTO_TEST_CASE(HistoriesWithLateCrashesGiveTheTasksUp)
{
  for (const gpMillis delay : kLateCrashes) {
    RunHistories(MakeLateCrashOptions(delay), 100);
  }
}

// Guards against crashes that are forgotten with the entry that ordered last.
BOOST_AUTO_TEST_CASE(HistoriesWithDeadlyTasksSurviveTheLossOfTheGiver)
{
  gpLeaseHistoryOptions options = MakeDeadlyOptions();
  options.faultPause_ = gpMillis(0);
  options.giverKills_ = true;
  const Totals totals = RunHistories(options, 100);
  BOOST_TEST(totals.giverKills_ > 0U);
  BOOST_TEST(totals.deadlyCrashes_ > 0U);
}

// Guards against a containment that finds only queues of such tasks.
BOOST_AUTO_TEST_CASE(HistoriesWithLateCrashesServeTheOtherQueue)
{
  for (const gpMillis delay : kLateCrashes) {
    CheckOtherQueueIsServed(MakeLateCrashOptions(delay));
  }
}

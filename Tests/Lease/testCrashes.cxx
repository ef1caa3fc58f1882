#define BOOST_TEST_MODULE gpCrashes
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "gpCrashDetector.h"
#include "gpCrashLedger.h"

namespace {

constexpr gpTime kStart{ gpMillis(1000) };

gpGuardRun
MakeRun(const std::string& aTask, gpTime aOrderedAt)
{
  gpGuardRun run;
  run.id_ = { aTask, 1 };
  run.orderedAt_ = aOrderedAt;
  return run;
}

std::set<std::string>
SuspectedOf(const std::vector<gpLostRun>& aLost)
{
  std::set<std::string> suspected;
  for (const gpLostRun& run : aLost) {
    if (run.suspected_) {
      suspected.insert(run.run_.task_);
    }
  }
  return suspected;
}

gpTargetCrash
MakeCrash(std::uint64_t aNumber, const std::string& aTask, bool aIsSuspected)
{
  return { "target", aNumber, { { { aTask, aNumber }, aIsSuspected } } };
}

} // namespace

// Guards against blaming a task that had long been running, or one that was
// ordered after the crash.
BOOST_AUTO_TEST_CASE(OnlyRunsThatStartedShortlyBeforeACrashAreSuspected)
{
  gpCrashDetector detector;
  gpRunTable runs;
  runs.Add(MakeRun("old", kStart - gpMillis(500)));
  runs.Add(MakeRun("young", kStart - gpMillis(10)));
  runs.Add(MakeRun("after", kStart + gpMillis(3)));
  detector.NoteReply(gpOrderReply::Accepted, kStart - gpMillis(10));
  BOOST_TEST(!detector.NoteReply(gpOrderReply::Broken, kStart));
  const gpTime refusedAt = kStart + gpMillis(20);
  BOOST_REQUIRE(detector.NoteReply(gpOrderReply::NotSent, refusedAt));
  BOOST_TEST((detector.GetCrashTime() == kStart));
  const auto lost = detector.TakeLostRuns(runs);
  BOOST_TEST(lost.size() == 3U);
  BOOST_TEST((SuspectedOf(lost) == std::set<std::string>{ "young" }));
}

BOOST_AUTO_TEST_CASE(ACrashIsReportedOnce)
{
  gpCrashDetector detector;
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  BOOST_REQUIRE(detector.NoteReply(gpOrderReply::NotSent, kStart));
  detector.TakeLostRuns(gpRunTable());
  BOOST_TEST(!detector.NoteReply(gpOrderReply::NotSent, kStart));
  BOOST_TEST(!detector.IsUnreported());
}

BOOST_AUTO_TEST_CASE(ATargetThatIsNotListeningYetHasNotCrashed)
{
  gpCrashDetector detector;
  BOOST_TEST(!detector.NoteReply(gpOrderReply::NotSent, kStart));
}

BOOST_AUTO_TEST_CASE(ABrokenCallIsNoCrashIfTheTargetAnswersTheNext)
{
  gpCrashDetector detector;
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  detector.NoteReply(gpOrderReply::Broken, kStart);
  BOOST_TEST(!detector.NoteReply(gpOrderReply::Accepted, kStart));
}

// The machine of a target that fails breaks no connection. The crash is known
// only when the next incarnation appears, after the runs were given up.
BOOST_AUTO_TEST_CASE(ASilentCrashNamesTheRunsThatWereGivenUp)
{
  gpCrashDetector detector;
  gpRunTable runs;
  runs.Add(MakeRun("old", kStart - gpMillis(500)));
  runs.Add(MakeRun("young", kStart));
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  detector.NoteReply(gpOrderReply::Silent, kStart + gpMillis(85));
  detector.NoteGivenUp(runs);
  BOOST_REQUIRE(detector.IsUnreported());
  const auto lost = detector.TakeLostRuns(gpRunTable());
  BOOST_TEST(lost.size() == 2U);
  BOOST_TEST((SuspectedOf(lost) == std::set<std::string>{ "young" }));
}

// Guards against a task that crashes one target after the other, each time
// under another submission of its job.
BOOST_AUTO_TEST_CASE(ATaskIsGivenUpAfterItsSecondSuspectedCrash)
{
  gpCrashLedger ledger;
  ledger.Add(MakeCrash(1, "job.0.0.0", true), kStart);
  BOOST_TEST(ledger.IsSuspected("job.0.0.0"));
  BOOST_TEST(!ledger.IsSuspected("job.0.0.1"));
  BOOST_TEST(!ledger.IsGivenUp("job"));
  ledger.Add(MakeCrash(2, "job.0.0.0", true), kStart);
  BOOST_TEST(ledger.IsGivenUp("job"));
  BOOST_TEST(!ledger.IsGivenUp("job2"));
}

// The rule of the platform counts all crashes under a task.
BOOST_AUTO_TEST_CASE(ATaskThatHadRunForLongIsGivenUpAfterItsThirdCrash)
{
  gpCrashLedger ledger;
  ledger.Add(MakeCrash(1, "job.0.0.0", false), kStart);
  ledger.Add(MakeCrash(2, "job.0.0.0", false), kStart);
  BOOST_TEST(!ledger.IsSuspected("job.0.0.0"));
  BOOST_TEST(!ledger.IsGivenUp("job"));
  ledger.Add(MakeCrash(3, "job.0.0.0", false), kStart);
  BOOST_TEST(ledger.IsGivenUp("job"));
}

BOOST_AUTO_TEST_CASE(ACrashOfWhichSeveralPeersTellCountsOnce)
{
  gpCrashLedger ledger;
  BOOST_TEST(ledger.Add(MakeCrash(1, "job.0.0.0", true), kStart));
  BOOST_TEST(!ledger.Add(MakeCrash(1, "job.0.0.0", true), kStart));
  BOOST_TEST(!ledger.IsGivenUp("job"));
}

BOOST_AUTO_TEST_CASE(CrashesAreForgottenAfterAWhile)
{
  gpCrashLedger ledger;
  ledger.Add(MakeCrash(1, "job.0.0.0", true), kStart);
  const gpTime later = kStart + std::chrono::minutes(10);
  ledger.Add(MakeCrash(2, "other.0.0.0", true), later);
  BOOST_TEST(!ledger.IsSuspected("job.0.0.0"));
}

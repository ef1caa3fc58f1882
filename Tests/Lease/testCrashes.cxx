#define BOOST_TEST_MODULE gpCrashes
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "gpCrashDetector.h"

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
SuspectedOf(const gpTargetCrash& aCrash)
{
  std::set<std::string> suspected;
  for (const gpLostRun& run : aCrash.runs_) {
    if (run.suspected_) {
      suspected.insert(run.run_.task_);
    }
  }
  return suspected;
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
  const gpTargetCrash crash = detector.Report(runs, refusedAt);
  BOOST_TEST(crash.runs_.size() == 3U);
  BOOST_TEST((SuspectedOf(crash) == std::set<std::string>{ "young" }));
  BOOST_TEST((crash.ago_ == gpMillis(20)));
}

BOOST_AUTO_TEST_CASE(ACrashIsReportedOnce)
{
  gpCrashDetector detector;
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  BOOST_REQUIRE(detector.NoteReply(gpOrderReply::NotSent, kStart));
  detector.Report(gpRunTable(), kStart);
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
  const gpTargetCrash crash =
    detector.Report(gpRunTable(), kStart + gpMillis(3000));
  BOOST_TEST(crash.runs_.size() == 2U);
  BOOST_TEST((SuspectedOf(crash) == std::set<std::string>{ "young" }));
}

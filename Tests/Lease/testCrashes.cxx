#define BOOST_TEST_MODULE gpCrashes
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>
#include <set>
#include <string>

#include "gpCrashDetector.h"
#include "gpCrashLedger.h"
#include "gpCrashMonitor.h"
#include "gpLeaseEntryReducer.h"
#include "gpLeaseGuardReducer.h"
#include "gpQueueContainment.h"

namespace {

constexpr gpTime kStart{ gpMillis(1000) };
/// Chance that a run of a queue is suspected of a crash by accident: for a
/// queue whose tasks start a few times a second at a target, and for a busy
/// one.
constexpr std::uint32_t kSmallChance = 200;
constexpr std::uint32_t kLargeChance = 900;
const gpServiceName kService("pond-order");
const gpQueueName kQueue("check");
const gpQueueName kOtherQueue("hold");

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

bool
IsReportDue(const gpCrashDetector& aDetector, gpTime aNow)
{
  return aNow >= aDetector.GetReportTime();
}

/// A crash that is certain, under a task that had certainly started.
gpTargetCrash
MakeCrash(std::uint64_t aNumber, const std::string& aTask, bool aIsSuspected)
{
  return { "target",
           kService,
           aNumber,
           gpCrashState::Confirmed,
           { { { aTask, aNumber }, kQueue, aIsSuspected, true } },
           {} };
}

/// A run that was lost at that age.
gpLostRun
MakeLostRun(const gpQueueName& aQueue, gpMillis aAge)
{
  return {
    { aQueue.value_ + ".0.0.0", 1 }, aQueue, aAge <= kCrashAgeWidth, true, aAge
  };
}

/// A crash that no task has caused, at a target where tasks of both queues
/// start at random and run for 300 ms.
gpTargetCrash
DrawCrash(std::mt19937_64& aGenerator)
{
  constexpr double kStartsPerSecond = 4;
  constexpr double kRunSeconds = 0.3;
  constexpr double kMillisPerSecond = 1000;
  constexpr double kPermille = 1000;
  const double width =
    static_cast<double>(kCrashAgeWidth.count()) / kMillisPerSecond;
  const auto chance = static_cast<std::uint32_t>(
    kPermille * (1 - std::exp(-kStartsPerSecond * width)));
  std::poisson_distribution<int> runs(kStartsPerSecond * kRunSeconds);
  std::uniform_int_distribution<int> age(
    0, static_cast<int>(kRunSeconds * kMillisPerSecond));
  gpTargetCrash crash;
  crash.service_ = kService;
  for (const gpQueueName& queue : { kQueue, kOtherQueue }) {
    for (int run = runs(aGenerator); run > 0; --run) {
      crash.runs_.push_back(MakeLostRun(queue, gpMillis(age(aGenerator))));
    }
    crash.queues_.push_back({ queue, chance });
  }
  return crash;
}

/// Feeds crashes to a gpQueueContainment, one every aPause.
class Crashes
{
public:
  explicit Crashes(gpMillis aPause = gpMillis(300))
    : pause_(aPause)
  {
  }

  /// A crash at a target where tasks of both queues run. The runs of aSuspected
  /// have started last.
  void Add(const std::set<gpQueueName>& aSuspected, std::uint32_t aChance)
  {
    gpTargetCrash crash{ "target", kService, ++number_, gpCrashState::Confirmed,
                         {},       {} };
    for (const gpQueueName& queue : { kQueue, kOtherQueue }) {
      const gpRunId run{ queue.value_ + ".0.0.0", number_ };
      crash.runs_.push_back({ run, queue, aSuspected.contains(queue), true });
      crash.queues_.push_back({ queue, aChance });
    }
    now_ += pause_;
    containment_.NoteCrash(crash, now_);
  }

  /// Passes time in which targets for contained queues are up or not.
  void Pass(gpMillis aTime, bool aHasTarget)
  {
    now_ += aTime;
    containment_.Release([=](const gpServiceName&) { return aHasTarget; },
                         now_);
  }

  bool IsContained(const gpQueueName& aQueue) const
  {
    return containment_.IsContained(aQueue);
  }

private:
  gpMillis pause_;
  gpTime now_ = kStart;
  std::uint64_t number_ = 0;
  gpQueueContainment containment_;
};

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
  detector.NoteReply(gpOrderReply::Broken, kStart);
  BOOST_TEST(!IsReportDue(detector, kStart + gpMillis(20)));
  detector.NoteReply(gpOrderReply::NotSent, kStart + gpMillis(20));
  BOOST_REQUIRE(IsReportDue(detector, kStart + gpMillis(40)));
  BOOST_TEST((detector.GetCrashTime() == kStart));
  const auto lost = detector.TakeLostRuns(runs);
  BOOST_TEST(lost.size() == 3U);
  BOOST_TEST((SuspectedOf(lost) == std::set<std::string>{ "young" }));
}

BOOST_AUTO_TEST_CASE(ACrashIsReportedOnce)
{
  gpCrashDetector detector;
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  detector.NoteReply(gpOrderReply::NotSent, kStart);
  BOOST_REQUIRE(IsReportDue(detector, kStart + gpMillis(20)));
  detector.TakeLostRuns(gpRunTable());
  detector.NoteReply(gpOrderReply::NotSent, kStart + gpMillis(20));
  BOOST_TEST(!IsReportDue(detector, kStart + gpMillis(40)));
  BOOST_TEST(!detector.IsUnreported());
}

BOOST_AUTO_TEST_CASE(ATargetThatIsNotListeningYetHasNotCrashed)
{
  gpCrashDetector detector;
  detector.NoteReply(gpOrderReply::NotSent, kStart);
  BOOST_TEST(!IsReportDue(detector, kStart + gpMillis(20)));
}

BOOST_AUTO_TEST_CASE(ABrokenCallIsNoCrashIfTheTargetAnswersTheNext)
{
  gpCrashDetector detector;
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  detector.NoteReply(gpOrderReply::Broken, kStart);
  detector.NoteReply(gpOrderReply::NotSent, kStart);
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  BOOST_TEST(!IsReportDue(detector, kStart + gpMillis(20)));
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

// The platform counts all crashes under a task, whenever it had started, and
// allows two starts after the third. Guards against a task that crashes its
// targets late and is started anywhere after the second crash.
BOOST_AUTO_TEST_CASE(ATaskThatHadRunForLongIsGivenUpAfterItsThirdCrash)
{
  gpCrashLedger ledger;
  ledger.Add(MakeCrash(1, "job.0.0.0", false), kStart);
  BOOST_TEST(ledger.IsCleared("job.0.0.0"));
  BOOST_TEST(!ledger.IsSuspected("job.0.0.0"));
  ledger.Add(MakeCrash(2, "job.0.0.0", false), kStart);
  BOOST_TEST(ledger.IsSuspected("job.0.0.0"));
  BOOST_TEST(!ledger.IsWithheld("job"));
  ledger.Add(MakeCrash(3, "job.0.0.0", false), kStart);
  BOOST_TEST(ledger.IsGivenUp("job"));
}

BOOST_AUTO_TEST_CASE(ACrashOfWhichSeveralPeersTellCountsOnce)
{
  gpCrashLedger ledger;
  const gpTargetCrash crash = MakeCrash(1, "job.0.0.0", true);
  BOOST_TEST((ledger.Add(crash, kStart) == gpCrashNovelty::New));
  BOOST_TEST((ledger.Add(crash, kStart) == gpCrashNovelty::Known));
  BOOST_TEST(!ledger.IsGivenUp("job"));
}

// Runs that were lost stay in the guard's table until the next incarnation of
// the target has shown that they don't run. Guards against a second crash
// meanwhile that counts as one under the same tasks.
BOOST_AUTO_TEST_CASE(ARunIsLostOnlyOnce)
{
  gpCrashLedger ledger;
  gpTargetCrash crash = MakeCrash(1, "job.0.0.0", true);
  ledger.Add(crash, kStart);
  crash.number_ = 2;
  ledger.Add(crash, kStart);
  BOOST_TEST(!ledger.IsWithheld("job"));
  gpTargetCrash uncertain = MakeCrash(3, "job.0.0.0", true);
  uncertain.state_ = gpCrashState::Suspected;
  ledger.Add(uncertain, kStart);
  BOOST_TEST(ledger.IsWithheld("job"));
  BOOST_TEST(!ledger.IsGivenUp("job"));
}

// Guards against a task that is given up as targets were only cut off for a
// while.
BOOST_AUTO_TEST_CASE(ARefutedCrashDoesNotCount)
{
  gpCrashLedger ledger;
  for (const std::uint64_t number : { 1, 2 }) {
    gpTargetCrash crash = MakeCrash(number, "job.0.0.0", true);
    crash.state_ = gpCrashState::Suspected;
    ledger.Add(crash, kStart);
  }
  BOOST_TEST(ledger.IsWithheld("job"));
  gpTargetCrash refuted = MakeCrash(2, "job.0.0.0", true);
  refuted.state_ = gpCrashState::Refuted;
  BOOST_TEST((ledger.Add(refuted, kStart) == gpCrashNovelty::Settled));
  BOOST_TEST((ledger.Add(refuted, kStart) == gpCrashNovelty::Known));
  BOOST_TEST(!ledger.IsWithheld("job"));
  BOOST_TEST(ledger.IsSuspected("job.0.0.0"));
}

// Guards against a job that is shown as failed although no target has crashed
// under it: the target was cut off, or its task had not started.
BOOST_AUTO_TEST_CASE(AJobIsGivenUpOnlyAfterTwoCertainCrashes)
{
  gpCrashLedger ledger;
  gpTargetCrash second = MakeCrash(2, "job.0.0.0", true);
  second.state_ = gpCrashState::Suspected;
  ledger.Add(MakeCrash(1, "job.0.0.0", true), kStart);
  ledger.Add(second, kStart);
  BOOST_TEST(ledger.IsWithheld("job"));
  BOOST_TEST(!ledger.IsGivenUp("job"));
  second.state_ = gpCrashState::Confirmed;
  BOOST_TEST((ledger.Add(second, kStart) == gpCrashNovelty::Settled));
  BOOST_TEST(ledger.IsGivenUp("job"));
  gpTargetCrash unstarted = MakeCrash(3, "other.0.0.0", true);
  unstarted.runs_[0].started_ = false;
  ledger.Add(unstarted, kStart);
  ledger.Add(MakeCrash(4, "other.0.0.0", true), kStart);
  BOOST_TEST(ledger.IsWithheld("other"));
  BOOST_TEST(!ledger.IsGivenUp("other"));
}

BOOST_AUTO_TEST_CASE(CrashesAreForgottenAfterAWhile)
{
  gpCrashLedger ledger;
  ledger.Add(MakeCrash(1, "job.0.0.0", true), kStart);
  const gpTime later = kStart + std::chrono::minutes(10);
  ledger.Add(MakeCrash(2, "other.0.0.0", true), later);
  BOOST_TEST(!ledger.IsSuspected("job.0.0.0"));
}

// Guards against one queue whose tasks take all targets down, although each of
// these tasks is started only once.
BOOST_AUTO_TEST_CASE(AQueueWhoseTasksCrashTargetsIsContained)
{
  Crashes crashes;
  crashes.Add({ kQueue }, kSmallChance);
  BOOST_TEST(!crashes.IsContained(kQueue));
  crashes.Add({ kQueue }, kSmallChance);
  crashes.Add({ kQueue }, kSmallChance);
  BOOST_TEST(crashes.IsContained(kQueue));
  BOOST_TEST(!crashes.IsContained(kOtherQueue));
}

BOOST_AUTO_TEST_CASE(CrashesWithoutSuspectedTasksContainNoQueue)
{
  Crashes crashes;
  for (int crash = 0; crash < 20; ++crash) {
    crashes.Add({}, kSmallChance);
    crashes.Add({ crash % 2 == 0 ? kQueue : kOtherQueue }, kSmallChance);
  }
  BOOST_TEST(!crashes.IsContained(kQueue));
  BOOST_TEST(!crashes.IsContained(kOtherQueue));
}

// Nearly every crash follows a start of a busy queue, whatever its cause.
BOOST_AUTO_TEST_CASE(ABusyQueueIsNotContainedForCrashesWithOtherCauses)
{
  Crashes crashes;
  for (int crash = 0; crash < 10; ++crash) {
    crashes.Add({ kQueue, kOtherQueue }, kLargeChance);
  }
  BOOST_TEST(!crashes.IsContained(kQueue));
}

// Such as the targets of a rack that loses power.
BOOST_AUTO_TEST_CASE(CrashesAtTheSameTimeCountOnce)
{
  Crashes crashes(gpMillis(1));
  for (int crash = 0; crash < 5; ++crash) {
    crashes.Add({ kQueue }, kSmallChance);
  }
  BOOST_TEST(!crashes.IsContained(kQueue));
}

// Entries of an older version don't name the queue of a run. Guards against a
// containment that belongs to no queue, so that all queues of the service lose
// targets for nothing.
BOOST_AUTO_TEST_CASE(RunsWithoutAQueueContainNothing)
{
  gpCrashDetector detector;
  gpRunTable runs;
  runs.Add(MakeRun("young.0.0.0", kStart));
  detector.NoteStart(gpQueueName(), kStart);
  detector.NoteReply(gpOrderReply::Accepted, kStart);
  detector.NoteReply(gpOrderReply::NotSent, kStart + gpMillis(10));
  gpTargetCrash crash{ "target", kService,
                       0,        gpCrashState::Confirmed,
                       {},       detector.ListQueues() };
  crash.runs_ = detector.TakeLostRuns(runs);
  BOOST_REQUIRE(crash.runs_.front().suspected_);
  gpQueueContainment containment;
  for (int second = 0; second < 4; ++second) {
    containment.NoteCrash(crash, kStart + std::chrono::seconds(second));
  }
  BOOST_TEST(!containment.IsInForce());
}

// Guards against a large fleet in which targets crash so often that each crash
// seems to have the cause of the one before.
BOOST_AUTO_TEST_CASE(ManyCrashesInARowCountMoreThanOnce)
{
  Crashes crashes(gpMillis(8));
  for (int crash = 0; crash < 20; ++crash) {
    crashes.Add({ kQueue }, kSmallChance);
  }
  BOOST_TEST(crashes.IsContained(kQueue));
}

// Guards against a search among so many ages that one fits by chance.
BOOST_AUTO_TEST_CASE(CrashesWithOtherCausesSeldomContainAQueue)
{
  constexpr int kSequences = 1000;
  constexpr int kCrashes = 10;
  // The test's chance to take crashes with other causes for those of a queue.
  constexpr double kMostFalse = 1.0 / 15;
  std::mt19937_64 generator(1);
  int contained = 0;
  for (int sequence = 0; sequence < kSequences; ++sequence) {
    gpQueueContainment containment;
    for (int second = 1; second <= kCrashes; ++second) {
      containment.NoteCrash(DrawCrash(generator),
                            kStart + std::chrono::seconds(second));
    }
    contained += containment.IsInForce() ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(contained << " of " << kSequences << " contained");
  BOOST_TEST(contained <= kMostFalse * kSequences);
}

// Guards against a queue whose tasks crash targets some time after their start:
// no run is suspected then.
BOOST_AUTO_TEST_CASE(AQueueWhoseTasksCrashTargetsLateIsContained)
{
  std::mt19937_64 generator(1);
  gpQueueContainment containment;
  gpTargetCrash crash;
  for (int second = 1; second <= 5; ++second) {
    crash = DrawCrash(generator);
    // The ages differ by a few milliseconds.
    crash.runs_.push_back(MakeLostRun(kQueue, gpMillis(100 + second)));
    containment.NoteCrash(crash, kStart + std::chrono::seconds(second));
  }
  BOOST_TEST(containment.IsContained(kQueue));
  BOOST_TEST(!containment.IsContained(kOtherQueue));
  // Its tasks that were lost at that age are suspected, and no others.
  BOOST_TEST(containment.Explains(MakeLostRun(kQueue, gpMillis(105))));
  BOOST_TEST(!containment.Explains(MakeLostRun(kQueue, gpMillis(200))));
  BOOST_TEST(!containment.Explains(MakeLostRun(kOtherQueue, gpMillis(105))));
}

// A contained queue goes on crashing targets, where tasks of others may run.
BOOST_AUTO_TEST_CASE(CrashesOfAContainedQueueAreNotHeldAgainstOthers)
{
  Crashes crashes;
  for (int crash = 0; crash < 3; ++crash) {
    crashes.Add({ kQueue }, kSmallChance);
  }
  for (int crash = 0; crash < 10; ++crash) {
    crashes.Add({ kQueue, kOtherQueue }, kSmallChance);
  }
  BOOST_TEST(!crashes.IsContained(kOtherQueue));
}

// Guards against an innocent task that is given up, as it starts at the same
// target and time as tasks of a queue that is known to crash targets.
BOOST_AUTO_TEST_CASE(ACrashThatAContainedQueueExplainsSuspectsNoOtherTask)
{
  gpCrashMonitor monitor;
  gpLeaseEffects effects;
  monitor.Adopt({ { kQueue, kService, gpMillis(0) } }, kStart, effects);
  for (const std::uint64_t number : { 1, 2 }) {
    gpTargetCrash crash =
      MakeCrash(number, "deadly" + std::to_string(number) + ".0.0.0", true);
    crash.runs_.push_back(
      { { "innocent.0.0.0", number }, kOtherQueue, true, true, gpMillis(5) });
    monitor.Learn(crash, kStart, effects);
  }
  BOOST_TEST(monitor.GetLedger().IsSuspected("deadly1.0.0.0"));
  BOOST_TEST(!monitor.GetLedger().IsWithheld("innocent"));
}

BOOST_AUTO_TEST_CASE(AContainedQueueIsReleasedWhenItsTasksRunWithoutCrashes)
{
  Crashes crashes;
  for (int crash = 0; crash < 3; ++crash) {
    crashes.Add({ kQueue }, kSmallChance);
  }
  // Its tasks can't start while no target is up.
  crashes.Pass(gpMillis(10000), false);
  BOOST_TEST(crashes.IsContained(kQueue));
  crashes.Pass(gpMillis(3000), true);
  crashes.Add({ kQueue }, kSmallChance);
  crashes.Pass(gpMillis(3000), true);
  BOOST_TEST(crashes.IsContained(kQueue));
  crashes.Pass(gpMillis(3000), true);
  BOOST_TEST(!crashes.IsContained(kQueue));
  // The first crash afterwards shows that it still has deadly tasks.
  crashes.Add({ kQueue }, kSmallChance);
  BOOST_TEST(crashes.IsContained(kQueue));
}

namespace {

gpLinkOpened
MakeLink(gpLinkId aLink, gpRole aRole, bool aIsDialed)
{
  gpLinkOpened opened;
  opened.link_ = aLink;
  opened.peer_.role_ = aRole;
  opened.peer_.incarnation_ = gpIncarnation(aLink.value_);
  if (aIsDialed) {
    opened.dialed_ = gpAddress("entry:" + std::to_string(aLink.value_));
  }
  return opened;
}

/// The crashes of which the process on the link is told as entries tell peers.
std::vector<gpTargetCrash>
CrashesToldOn(gpLinkId aLink, const std::vector<gpLeaseEffect>& aEffects)
{
  std::vector<gpTargetCrash> crashes;
  for (const gpLeaseEffect& effect : aEffects) {
    const auto* send = std::get_if<gpSend>(&effect);
    const auto* update = send != nullptr && send->link_ == aLink
                           ? std::get_if<gpEntryUpdate>(&send->message_)
                           : nullptr;
    if (update != nullptr) {
      crashes.insert(
        crashes.end(), update->crashes_.begin(), update->crashes_.end());
    }
  }
  return crashes;
}

} // namespace

// Guards against a count that is lost while most processes are up, as the
// entries and the one guard that knew of the crash were killed in turn.
BOOST_AUTO_TEST_CASE(ANewEntryIsToldOfACrashByAGuardOfAnotherTarget)
{
  const gpLinkId crashed(1);
  const gpLinkId other(2);
  const gpLinkId entry(3);
  gpLeaseEntryReducer counting(gpLeaseEntryOptions{});
  counting.Reduce({ kStart, MakeLink(crashed, gpRole::Guard, false) });
  counting.Reduce({ kStart, MakeLink(other, gpRole::Guard, false) });
  gpTargetUpdate update;
  update.crashes_ = { MakeCrash(1, "job.0.0.0", false) };
  const auto told = CrashesToldOn(
    other, counting.Reduce({ kStart, gpMessageReceived{ crashed, update } }));
  BOOST_REQUIRE(told.size() == 1U);

  gpLeaseGuardReducer guard(gpLeaseGuardOptions{});
  guard.Reduce({ kStart, MakeLink(entry, gpRole::Entry, true) });
  gpEntryUpdate forwarded;
  forwarded.crashes_ = told;
  guard.Reduce({ kStart, gpMessageReceived{ entry, forwarded } });
  const gpLinkId restarted(4);
  const auto heard = CrashesToldOn(
    restarted,
    guard.Reduce({ kStart, MakeLink(restarted, gpRole::Entry, true) }));
  BOOST_TEST((heard == update.crashes_));
}

// Guards against a target that was only cut off, and whose crash entries that
// start count all the same.
BOOST_AUTO_TEST_CASE(ACrashThatWasToldBeforeIsRefuted)
{
  gpRecentCrashes told(gpMillis(10000));
  gpTargetCrash crash = MakeCrash(1, "job.0.0.0", false);
  crash.state_ = gpCrashState::Suspected;
  told.Learn(crash, kStart);
  crash.state_ = gpCrashState::Refuted;
  told.Learn(crash, kStart);
  crash.state_ = gpCrashState::Suspected;
  told.Learn(crash, kStart);
  BOOST_REQUIRE(told.List().size() == 1U);
  BOOST_TEST((told.List().front().state_ == gpCrashState::Refuted));
}

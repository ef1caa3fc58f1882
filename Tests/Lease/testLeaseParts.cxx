#define BOOST_TEST_MODULE gpLeaseParts
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "gpEndedJobs.h"
#include "gpLeaseJobTable.h"
#include "gpLeaseTimeCheck.h"
#include "gpLeaseTimings.h"
#include "gpRunTable.h"
#include "gpRunTimeEstimator.h"
#include "gpTargetSession.h"
#include "gpTargetSpeed.h"
#include "gpTargetTable.h"

namespace {

const gpServiceName kService("pond-order");
const gpTime kNow{ gpMillis(1000) };

gpResources
Cores(std::uint64_t aMilliCores)
{
  return { aMilliCores, 0, 0 };
}

/// A gpTargetTable with targets of known slowness.
class LinkedTargets
{
public:
  void Add(std::uint64_t aGuard, double aSlowness, std::uint64_t aFree)
  {
    Add(aGuard, "guard-" + std::to_string(aGuard), aSlowness, aFree);
  }
  void Add(std::uint64_t aGuard,
           const std::string& aName,
           double aSlowness,
           std::uint64_t aFree)
  {
    const gpIncarnation guard(aGuard);
    gpPeer peer;
    peer.role_ = gpRole::Guard;
    peer.name_ = aName;
    peer.incarnation_ = guard;
    targetTable_.OnLinked(peer, gpLinkId(aGuard));
    gpTargetUpdate update;
    update.service_ = kService;
    update.dataCentre_ = gpDataCentreName("dc-1");
    update.capacity_ = Cores(64000);
    update.takesWork_ = true;
    targetTable_.OnTargetUpdate(guard, update);
    gpCapacityReport report;
    report.free_ = Cores(aFree);
    report.slownessPermille_ = static_cast<std::uint32_t>(1000 * aSlowness);
    targetTable_.OnCapacityReport(guard, report, kNow);
  }

  std::optional<gpIncarnation> Choose(gpMillis aEstimate)
  {
    return targetTable_.Choose(Need(aEstimate), kNow);
  }

  static gpPlacementNeed Need(gpMillis aEstimate)
  {
    gpPlacementNeed need;
    need.service_ = kService;
    need.needs_ = Cores(6000);
    need.estimate_ = aEstimate;
    need.stretch_ = 1.6;
    need.allowance_ = gpMillis(60);
    need.timeLeft_ = gpMillis(1500);
    return need;
  }

  gpTargetTable targetTable_{ gpDataCentreName("dc-1") };
};

} // namespace

BOOST_AUTO_TEST_CASE(AGuardMeasuresTheSpeedOfItsTarget)
{
  gpTargetSpeed speed;
  BOOST_TEST(speed.GetSlowness() == 1.0);
  // Estimates are up to a half too low or too high.
  for (const std::int64_t time : { 90, 210, 140, 100, 200, 150, 130, 180 }) {
    speed.NoteDone(gpMillis(100), gpMillis(time));
  }
  BOOST_TEST(speed.GetSlowness() > 1.2);
  BOOST_TEST(speed.GetSlowness() < 1.6);
  speed.NoteDone(gpMillis(0), gpMillis(500));
  BOOST_TEST(speed.GetSlowness() < 1.6);
  speed.Restart();
  BOOST_TEST(speed.GetSlowness() == 1.0);
}

// Guards against a target that turns slow and keeps its old speed in the
// average for dozens of runs, so that its stragglers are sent there again.
BOOST_AUTO_TEST_CASE(ATargetThatTurnsSlowIsDetectedWithinFourRuns)
{
  constexpr int kRunsBefore = 100;
  gpTargetSpeed speed;
  for (int run = 0; run < kRunsBefore; ++run) {
    speed.NoteDone(gpMillis(100), gpMillis(run % 2 == 0 ? 70 : 140));
  }
  BOOST_TEST(speed.GetSlowness() < 1.2);
  // One outlier says more about its estimate than about the target.
  speed.NoteDone(gpMillis(100), gpMillis(600));
  BOOST_TEST(speed.GetSlowness() < 1.2);
  for (int run = 0; run < 3; ++run) {
    speed.NoteDone(gpMillis(100), gpMillis(600));
  }
  BOOST_TEST(speed.GetSlowness() > 2.5);
  for (int run = 0; run < 4; ++run) {
    speed.NoteDone(gpMillis(100), gpMillis(100));
  }
  BOOST_TEST(speed.GetSlowness() < 2.0);
}

BOOST_AUTO_TEST_CASE(AStoppedRunCountsIfItWasSlowerThanExpected)
{
  gpTargetSpeed speed;
  speed.NoteStopped(gpMillis(100), gpMillis(20));
  BOOST_TEST(speed.GetSlowness() == 1.0);
  speed.NoteStopped(gpMillis(100), gpMillis(400));
  BOOST_TEST(speed.GetSlowness() > 1.5);
}

BOOST_AUTO_TEST_CASE(AnEntryPlacesByTheReportedSpeed)
{
  LinkedTargets linked;
  linked.Add(1, 1.4, 64000);
  linked.Add(2, 0.6, 64000);
  BOOST_CHECK(linked.Choose(gpMillis(1200)) == gpIncarnation(2));
  // An impossible value from a faulty guard is limited to the valid range.
  linked.Add(3, 0.0, 64000);
  BOOST_TEST(linked.targetTable_.Find(gpIncarnation(3))->slowness_ > 0);
}

BOOST_AUTO_TEST_CASE(TheCapacityOfATargetIsDividedAmongItsEntries)
{
  LinkedTargets linked;
  linked.Add(1, 1.0, 64000);
  const double alone =
    linked.targetTable_.GetShare(kService, gpPlacementScope::AnyTarget);
  gpCapacityReport report;
  report.sharingEntries_ = 4;
  linked.targetTable_.OnCapacityReport(gpIncarnation(1), report, kNow);
  BOOST_TEST(linked.targetTable_.GetShare(
               kService, gpPlacementScope::AnyTarget) == alone / 4);
}

BOOST_AUTO_TEST_CASE(ShortTasksLeaveFastTargetsFree)
{
  LinkedTargets linked;
  linked.Add(1, 0.6, 64000);
  linked.Add(2, 1.4, 64000);
  BOOST_CHECK(linked.Choose(gpMillis(60)) == gpIncarnation(2));
  BOOST_CHECK(linked.Choose(gpMillis(200)) == gpIncarnation(2));
  BOOST_CHECK(linked.Choose(gpMillis(900)) == gpIncarnation(1));
}

BOOST_AUTO_TEST_CASE(ShortTasksTakeFastTargetsWhenTheSlowOnesAreFull)
{
  LinkedTargets linked;
  linked.Add(1, 0.6, 64000);
  linked.Add(2, 1.4, 3000);
  BOOST_CHECK(linked.Choose(gpMillis(60)) == gpIncarnation(1));
}

BOOST_AUTO_TEST_CASE(LongTasksWaitForAFastTarget)
{
  LinkedTargets linked;
  linked.Add(1, 0.6, 3000);
  linked.Add(2, 1.4, 64000);
  // A run of 1200 ms at slowness 1.4 would exceed the time left of 1500 ms.
  BOOST_CHECK(!linked.Choose(gpMillis(1200)).has_value());
  BOOST_CHECK(linked.Choose(gpMillis(700)) == gpIncarnation(2));
}

BOOST_AUTO_TEST_CASE(LongTasksTakeASlowTargetIfThereIsNoOther)
{
  LinkedTargets linked;
  linked.Add(2, 1.4, 64000);
  BOOST_CHECK(linked.Choose(gpMillis(1200)) == gpIncarnation(2));
}

BOOST_AUTO_TEST_CASE(OrdersInFlightReduceTheFreeCapacity)
{
  LinkedTargets linked;
  linked.Add(1, 1.0, 10000);
  const gpRunId run{ "job.0.0.0", 1 };
  linked.targetTable_.NoteSent(
    gpIncarnation(1), run, LinkedTargets::Need(gpMillis(50)), kNow);
  BOOST_CHECK(!linked.Choose(gpMillis(50)).has_value());
  linked.targetTable_.OnCapacityReport(
    gpIncarnation(1), { Cores(10000), 1 }, kNow);
  BOOST_CHECK(linked.Choose(gpMillis(50)).has_value());
}

BOOST_AUTO_TEST_CASE(ATargetThatFailsSeveralJobsIsEjected)
{
  LinkedTargets linked;
  linked.Add(1, 1.0, 64000);
  gpRunReport failed;
  failed.end_ = gpRunEnd::Failed;
  // A job that always fails counts only once against the target.
  for (int run = 0; run < 5; ++run) {
    linked.targetTable_.NoteEnded(gpIncarnation(1), "poison", failed, kNow);
  }
  BOOST_CHECK(linked.Choose(gpMillis(50)).has_value());
  for (const char* job : { "a", "b", "c" }) {
    linked.targetTable_.NoteEnded(gpIncarnation(1), job, failed, kNow);
  }
  BOOST_CHECK(!linked.Choose(gpMillis(50)).has_value());
}

BOOST_AUTO_TEST_CASE(ATargetWithAnOverdueRunGetsNoMoreRuns)
{
  LinkedTargets linked;
  linked.Add(1, 1.0, 64000);
  linked.targetTable_.NoteSent(gpIncarnation(1),
                               { "job.0.0.0", 1 },
                               LinkedTargets::Need(gpMillis(50)),
                               kNow - gpMillis(5000));
  BOOST_CHECK(!linked.Choose(gpMillis(50)).has_value());
}

// Guards against a crash after which it isn't known which of several suspected
// tasks has caused it, so that all of them are given up.
BOOST_AUTO_TEST_CASE(SuspectedTasksAreSentToATargetOneAfterTheOther)
{
  LinkedTargets linked;
  linked.Add(1, 1.0, 64000);
  gpPlacementNeed suspected = LinkedTargets::Need(gpMillis(50));
  suspected.isSuspected_ = true;
  linked.targetTable_.NoteSent(
    gpIncarnation(1), { "job.0.0.0", 1 }, suspected, kNow);
  BOOST_CHECK(!linked.targetTable_.Choose(suspected, kNow).has_value());
  BOOST_CHECK(linked.Choose(gpMillis(50)).has_value());
  BOOST_CHECK(
    linked.targetTable_.Choose(suspected, kNow + gpMillis(100)).has_value());
}

BOOST_AUTO_TEST_CASE(TargetsSetApartServeOnlyContainedQueues)
{
  LinkedTargets linked;
  for (std::uint64_t guard = 1; guard <= 10; ++guard) {
    linked.Add(guard, 1.0, 64000);
  }
  std::size_t setApart = 0;
  for (const auto& [guard, view] : linked.targetTable_.GetAll()) {
    gpPlacementNeed need = LinkedTargets::Need(gpMillis(50));
    need.scope_ = gpPlacementScope::SetApart;
    const bool isSetApart = linked.targetTable_.Accepts(guard, need, kNow);
    setApart += isSetApart ? 1 : 0;
    need.scope_ = gpPlacementScope::Others;
    BOOST_TEST(linked.targetTable_.Accepts(guard, need, kNow) == !isSetApart);
    need.scope_ = gpPlacementScope::AnyTarget;
    BOOST_TEST(linked.targetTable_.Accepts(guard, need, kNow));
  }
  BOOST_TEST(setApart == 2U);
}

// Guards against more targets that are set apart while a guard that was
// restarted is still linked as its former self too, and against a choice that
// depends on the order of views in memory.
BOOST_AUTO_TEST_CASE(ARestartedGuardDoesNotChangeTheTargetsSetApart)
{
  for (std::uint64_t restarted = 1; restarted <= 10; ++restarted) {
    LinkedTargets linked;
    for (std::uint64_t guard = 1; guard <= 10; ++guard) {
      linked.Add(guard, 1.0, 64000);
    }
    linked.Add(11, "guard-" + std::to_string(restarted), 1.0, 64000);
    std::set<std::string> setApart;
    std::set<std::string> others;
    for (const auto& [guard, view] : linked.targetTable_.GetAll()) {
      (view.IsIn(gpPlacementScope::SetApart) ? setApart : others)
        .insert(view.name_);
    }
    BOOST_TEST(setApart.size() == 2U);
    BOOST_TEST(others.size() == 8U);
  }
}

// A service with a single target can't set one apart.
BOOST_AUTO_TEST_CASE(ASingleTargetServesAllQueues)
{
  LinkedTargets linked;
  linked.Add(1, 1.0, 64000);
  for (const auto scope :
       { gpPlacementScope::SetApart, gpPlacementScope::Others }) {
    gpPlacementNeed need = LinkedTargets::Need(gpMillis(50));
    need.scope_ = scope;
    BOOST_TEST(linked.targetTable_.Accepts(gpIncarnation(1), need, kNow));
  }
}

BOOST_AUTO_TEST_CASE(PredictionsLieBetweenEstimateAndQueueAverage)
{
  gpRunTimeEstimator lengths;
  const gpQueueName queue("quotes");
  BOOST_TEST(lengths.Predict(queue, gpMillis(900)).count() == 900);
  for (int job = 0; job < 100; ++job) {
    lengths.Predict(queue, gpMillis(900));
  }
  const gpMillis low = lengths.Predict(queue, gpMillis(300));
  BOOST_TEST(low.count() > 400);
  BOOST_TEST(low.count() < 700);
  BOOST_TEST(lengths.Predict(queue, gpMillis(0)).count() == 0);
  BOOST_TEST(lengths.Predict(gpQueueName("other"), gpMillis(100)).count() ==
             100);
}

BOOST_AUTO_TEST_CASE(APollDoesNotEndRunsStartedAfterIt)
{
  gpRunTable runs;
  runs.SetCapacity(Cores(1000));
  gpGuardRun run;
  run.id_ = { "job.0.0.0", 1 };
  run.needs_ = Cores(600);
  BOOST_TEST(runs.Add(run));
  BOOST_TEST(!runs.Add(run));
  BOOST_TEST(runs.GetFree().milliCores_ == 400U);
  BOOST_TEST(runs.ListEnded(kNow, {}).empty());
  runs.Find(run.id_)->visibleSince_ = kNow;
  BOOST_TEST(runs.ListEnded(kNow - gpMillis(1), {}).empty());
  BOOST_TEST(runs.ListEnded(kNow, { run.id_ }).empty());
  BOOST_TEST(runs.ListEnded(kNow, {}).size() == 1U);
}

// A late heartbeat tells nothing but that its target leaves: then a number that
// is ahead of it can't be the target's own.
BOOST_AUTO_TEST_CASE(OutdatedHeartbeatsAreIgnored)
{
  gpTargetSession session(1);
  gpTargetAnnouncement target;
  target.id_ = "i-1";
  target.startTime_ = 100;
  target.sequence_ = 5;
  BOOST_TEST(session.NoteHeartbeat(target, kNow));
  target.sequence_ = 4;
  target.capacity_ = { 9000, 0, 0 };
  BOOST_TEST(!session.IsNews(target, kNow));
  target.draining_ = true;
  BOOST_TEST(session.IsNews(target, kNow));
  BOOST_TEST(!session.NoteHeartbeat(target, kNow));
  BOOST_TEST(session.IsLeaving());
  BOOST_TEST(session.Get().sequence_ == 5U);
  BOOST_TEST(session.Get().capacity_.milliCores_ == 0U);
}

// A heartbeat of another incarnation is none of the present one, whatever its
// numbers, until the target has answered as this incarnation.
BOOST_AUTO_TEST_CASE(AnotherIncarnationIsProvenByAnAnswer)
{
  gpTargetSession session(1);
  gpTargetAnnouncement target;
  target.id_ = "i-1";
  target.startTime_ = 100;
  target.sequence_ = 5;
  BOOST_TEST(session.NoteHeartbeat(target, kNow));
  const std::uint64_t fence = session.GetFence();
  gpTargetAnnouncement newer = target;
  newer.startTime_ = 200;
  newer.sequence_ = 1;
  BOOST_TEST(!session.IsPresent(newer));
  BOOST_TEST(!session.IsProven(newer));
  BOOST_TEST(session.NoteStartTime(200));
  BOOST_TEST(session.IsProven(newer));
  BOOST_TEST(session.NoteHeartbeat(newer, kNow));
  BOOST_TEST(session.GetFence() > fence);
  // A late heartbeat of the earlier one follows.
  target.sequence_ = 9;
  BOOST_TEST(!session.IsPresent(target));
  BOOST_TEST(!session.IsProven(target));
  BOOST_TEST(session.Get().startTime_ == 200U);
}

BOOST_AUTO_TEST_CASE(AnAnswerOverridesTheOrderOfStartTimes)
{
  gpTargetSession session(1);
  gpTargetAnnouncement target;
  target.id_ = "i-1";
  target.startTime_ = 100;
  target.sequence_ = 1;
  session.NoteHeartbeat(target, kNow);
  BOOST_TEST(!session.NoteStartTime(100));
  // The time of day was set back, so the newer incarnation has the lower start
  // time.
  BOOST_TEST(session.NoteStartTime(50));
  BOOST_TEST(!session.IsConfirmed());
  target.startTime_ = 50;
  BOOST_TEST(session.NoteHeartbeat(target, kNow));
  BOOST_TEST(session.IsConfirmed());
}

// Guards against a fence that overflows, or that JSON can't express exactly,
// after many refusals.
BOOST_AUTO_TEST_CASE(RefusalsRaiseTheFenceToALimitThatLeavesRoom)
{
  constexpr std::uint64_t kExactInJson = (1ULL << 53U) - 1;
  constexpr std::uint64_t kClimbed = 1ULL << 50U;
  gpTargetSession session(1);
  for (int refusals = 0; refusals < 60; ++refusals) {
    session.RaiseFence();
  }
  BOOST_TEST(session.GetFence() > kClimbed);
  for (int refusals = 0; refusals < 1000; ++refusals) {
    session.RaiseFence();
  }
  BOOST_TEST(session.GetFence() < kExactInJson);
  const std::uint64_t fence = session.GetFence();
  session.NoteUnreachable();
  BOOST_TEST(session.GetFence() > fence);
}

BOOST_AUTO_TEST_CASE(StepsWaitForTheStepsTheyDependOn)
{
  gpLeaseJobTable jobs;
  gpLeaseRecord record;
  record.job_.id_ = "job";
  record.job_.steps_.resize(2);
  record.job_.steps_[0].count_ = 2;
  record.job_.steps_[0].estimate_ = gpMillis(100);
  record.job_.steps_[1].estimate_ = gpMillis(50);
  record.job_.steps_[1].dependsOn_ = { 0 };
  gpLeaseRecord& job = jobs.Add(std::move(record));
  BOOST_TEST(job.GetCriticalPath().count() == 150);
  BOOST_TEST(jobs.GetWaiting().size() == 2U);
  for (const std::size_t task : { 0, 1 }) {
    jobs.Send(job, task, gpIncarnation(1), task + 1);
    jobs.ChangePhase(job, task, gpLeaseTaskPhase::Done);
    jobs.Unblock(job);
    BOOST_REQUIRE(jobs.GetWaiting().size() == 1U);
    BOOST_TEST(jobs.GetWaiting().begin()->task_ == task + 1);
  }
  jobs.Remove(job.sequence_);
  BOOST_TEST(jobs.GetWaiting().empty());
}

namespace {

/// A job of one task, estimated at 100 ms, with a deadline in 1.5 s.
gpLeaseRecord
MakeRecord(gpLeaseTaskPhase aPhase)
{
  gpLeaseRecord record;
  record.job_.steps_.push_back({ 1, Cores(1000), gpMillis(100), {} });
  record.startBy_ = kNow + gpMillis(300);
  record.deadline_ = kNow + gpMillis(1500);
  gpLeaseTask task;
  task.phase_ = aPhase;
  task.lostAt_ = kNow;
  task.stragglerAt_ = gpStragglerTime(record.job_.steps_[0], kNow);
  record.tasks_.push_back(task);
  record.runsSent_ = aPhase == gpLeaseTaskPhase::Waiting ? 0 : 1;
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(AJobNotStartedInTimeIsRefused)
{
  const auto record = MakeRecord(gpLeaseTaskPhase::Waiting);
  const auto verdictAt = [&](gpTime aTime) {
    return gpCheckLeaseTimes(record, aTime).verdict_;
  };
  BOOST_TEST((verdictAt(kNow) == gpLeaseVerdict::GoOn));
  BOOST_TEST((verdictAt(record.startBy_) == gpLeaseVerdict::NotStarted));
}

BOOST_AUTO_TEST_CASE(AJobThatCanNoLongerEndInTimeIsFailed)
{
  gpLeaseRecord record = MakeRecord(gpLeaseTaskPhase::Waiting);
  record.runsSent_ = 1;
  const gpTime lastStart = record.deadline_ - gpMillis(30);
  const auto before = gpCheckLeaseTimes(record, lastStart - gpMillis(1));
  BOOST_TEST((before.verdict_ == gpLeaseVerdict::GoOn));
  const auto after = gpCheckLeaseTimes(record, lastStart);
  BOOST_TEST((after.verdict_ == gpLeaseVerdict::TooLate));
}

BOOST_AUTO_TEST_CASE(ALostRunCountsAsEndedAfterTheLinkLossBound)
{
  const auto record = MakeRecord(gpLeaseTaskPhase::Lost);
  const gpTime freeAt = kNow + kLinkLossBound;
  BOOST_TEST(
    gpCheckLeaseTimes(record, freeAt - gpMillis(1)).endedTasks_.empty());
  BOOST_TEST(gpCheckLeaseTimes(record, freeAt).endedTasks_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AJobFailsIfItsLostRunLeavesNoTimeForAnother)
{
  gpLeaseRecord record = MakeRecord(gpLeaseTaskPhase::Lost);
  record.deadline_ = kNow + kLinkLossBound + gpMillis(20);
  const auto verdictAfter = [&](gpMillis aTime) {
    return gpCheckLeaseTimes(record, kNow + aTime).verdict_;
  };
  // Until then, the guard may be linked again and list the runs it holds.
  BOOST_TEST((verdictAfter(gpMillis(200)) == gpLeaseVerdict::GoOn));
  BOOST_TEST((verdictAfter(gpMillis(350)) == gpLeaseVerdict::TargetLost));
}

BOOST_AUTO_TEST_CASE(AStragglerIsDetected)
{
  const auto record = MakeRecord(gpLeaseTaskPhase::Sent);
  const gpTime recallAt = record.tasks_[0].stragglerAt_;
  BOOST_TEST(
    gpCheckLeaseTimes(record, recallAt - gpMillis(1)).stragglers_.empty());
  BOOST_TEST(gpCheckLeaseTimes(record, recallAt).stragglers_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnEndedJobIsKnownForALimitedTime)
{
  gpEndedJobs jobs;
  BOOST_TEST(jobs.Add({ "job", gpMillis(0) }, kNow));
  BOOST_TEST(!jobs.Add({ "job", gpMillis(0) }, kNow + gpMillis(5)));
  BOOST_TEST(jobs.Contains("job", kNow + kLatestRepeat - gpMillis(1)));
  BOOST_TEST(!jobs.Contains("other", kNow));
  BOOST_TEST(!jobs.Contains("job", kNow + kLatestRepeat));
  jobs.DropOld(kNow + kLatestRepeat);
  BOOST_TEST(jobs.Count() == 0U);
}

// Guards against a job that entries tell each other of without end, as each of
// them counts its time from when it was told.
BOOST_AUTO_TEST_CASE(AnEndedJobIsForgottenByItsAgeWhoeverTellsOfIt)
{
  constexpr gpMillis kAge{ 9000 };
  gpEndedJobs first;
  first.Add({ "job", gpMillis(0) }, kNow);
  gpEndedJobs second;
  for (const gpEndedJob& job : first.List(kNow + kAge)) {
    BOOST_TEST((job.age_ == kAge));
    BOOST_TEST(second.Add(job, kNow + kAge));
  }
  BOOST_TEST(second.Contains("job", kNow + kLatestRepeat - gpMillis(1)));
  BOOST_TEST(!second.Contains("job", kNow + kLatestRepeat));
  BOOST_TEST(!first.Add({ "old", kLatestRepeat }, kNow));
  BOOST_TEST(first.List(kNow + kLatestRepeat).empty());
}

// Guards against a job that can't be added, as it's known from long ago.
BOOST_AUTO_TEST_CASE(AnEndedJobThatIsTooOldCanBeAddedAgain)
{
  gpEndedJobs jobs;
  jobs.Add({ "young", gpMillis(0) }, kNow);
  jobs.Add({ "job", kLatestRepeat - gpMillis(1) }, kNow);
  BOOST_TEST(!jobs.Contains("job", kNow + gpMillis(1)));
  BOOST_TEST(jobs.Add({ "job", gpMillis(0) }, kNow + gpMillis(1)));
  BOOST_TEST(jobs.Contains("job", kNow + kLatestRepeat));
  jobs.DropOld(kNow + kLatestRepeat + gpMillis(1));
  BOOST_TEST(jobs.Count() == 0U);
}

// Guards against an entry that runs out of memory when many jobs end.
BOOST_AUTO_TEST_CASE(TheNumberOfEndedJobsIsBounded)
{
  gpEndedJobs jobs;
  for (std::size_t job = 0; job <= gpEndedJobs::kMostJobs; ++job) {
    jobs.Add({ std::to_string(job), gpMillis(0) }, kNow);
  }
  BOOST_TEST(jobs.Count() == gpEndedJobs::kMostJobs);
  BOOST_TEST(!jobs.Contains("0", kNow));
  BOOST_TEST(jobs.Contains("1", kNow));
}

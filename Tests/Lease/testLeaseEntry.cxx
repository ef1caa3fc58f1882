#define BOOST_TEST_MODULE gpLeaseEntry
#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "gpLeaseEntryReducer.h"
#include "gpLeaseTimings.h"

namespace {

const gpServiceName kService("pond-order");
const gpQueueName kQueue("hold");
const gpLinkId kLink(1);
const gpLinkId kPeerLink(2);
const gpIncarnation kGuard(7);
constexpr gpMillis kShutdown{ 3000 };
/// Longer than a load balancer takes to send no more new connections.
constexpr gpMillis kLongShutdown{ 5100 };
constexpr gpMillis kCallerTimeout{ 20000 };

gpQueueTable
MakeQueues()
{
  gpQueue queue;
  queue.name_ = kQueue;
  queue.host_ = "ponds";
  queue.prefix_ = "/hold/";
  queue.service_ = kService;
  queue.maxAttempts_ = 2;
  queue.stretch_ = 1.6;
  queue.allowance_ = gpMillis(60000);
  gpQueueTable table;
  table.version_ = gpConfigVersion(1);
  table.queues_.push_back(queue);
  queue.name_ = gpQueueName("check");
  queue.prefix_ = "/check/";
  queue.allowance_ = gpMillis(60);
  table.queues_.push_back(queue);
  return table;
}

gpLeaseJob
MakeJob(const std::string& aId)
{
  gpLeaseJob job;
  job.id_ = aId;
  job.host_ = "ponds";
  job.path_ = "/hold/" + aId;
  job.steps_.push_back({ 1, { 1000, 0, 0 }, gpMillis(100), {} });
  job.callerTimeout_ = kCallerTimeout;
  return job;
}

/// A job that is refused if it can't start within 55 ms.
gpLeaseJob
MakeUrgentJob(const std::string& aId)
{
  gpLeaseJob job = MakeJob(aId);
  job.path_ = "/check/" + aId;
  return job;
}

/// A crash of the target shortly after the start of the run, whose queue seldom
/// starts tasks there.
gpTargetCrash
MakeCrash(std::uint64_t aNumber, gpCrashState aState, const gpRunId& aRun)
{
  constexpr std::uint32_t kSmallChance = 100;
  return { "target",
           kService,
           aNumber,
           aState,
           { { aRun, kQueue, true, true } },
           { { kQueue, kSmallChance } } };
}

/// An entry with one guard, whose target has capacity for one task.
class EntryWithGuard
{
public:
  explicit EntryWithGuard(gpMillis aShutdown = kShutdown)
    : entry_(Options(aShutdown))
  {
    Feed(gpQueuesChanged{ MakeQueues() });
    Link();
  }

  /// The guard links with the entry, and its target is free.
  void Link()
  {
    gpLinkOpened opened;
    opened.link_ = kLink;
    opened.peer_.role_ = gpRole::Guard;
    opened.peer_.incarnation_ = kGuard;
    Feed(opened);
    Feed(gpMessageReceived{ kLink, MakeUpdate() });
    Feed(gpMessageReceived{ kLink, gpCapacityReport{ { 1000, 0, 0 }, 0 } });
  }

  /// The guard reports that its target is free again.
  void FreeTarget()
  {
    Feed(gpMessageReceived{
      kLink, gpCapacityReport{ { 1000, 0, 0 }, ordered_.size() } });
  }

  void Feed(decltype(gpLeaseEntryEvent::input_) aInput)
  {
    for (const auto& effect : entry_.Reduce({ now_, std::move(aInput) })) {
      if (const auto* answer = std::get_if<gpAnswerLeaseJob>(&effect)) {
        answers_[answer->request_] = answer->answer_;
      }
      if (const auto* send = std::get_if<gpSend>(&effect)) {
        if (const auto* order = std::get_if<gpRunOrder>(&send->message_)) {
          ordered_.insert(
            ordered_.end(), order->runs_.begin(), order->runs_.end());
        }
        if (const auto* update = std::get_if<gpEntryUpdate>(&send->message_)) {
          update_ = *update;
          cancelledTold_.insert(cancelledTold_.end(),
                                update->cancelled_.begin(),
                                update->cancelled_.end());
          completedTold_.insert(completedTold_.end(),
                                update->completed_.begin(),
                                update->completed_.end());
          endedUpdates_ +=
            update->cancelled_.empty() && update->completed_.empty() ? 0 : 1;
        }
      }
      if (const auto* write = std::get_if<gpWriteTimeline>(&effect)) {
        if (write->event_.kind_ == gpEventKind::QueueContained) {
          contained_.insert(write->event_.detail_);
        }
      }
      if (const auto* wake = std::get_if<gpWakeAt>(&effect)) {
        wakeAt_ = wake->when_;
      }
      connectionsClosed_ =
        connectionsClosed_ ||
        std::holds_alternative<gpCloseCallerConnections>(effect);
      stopped_ = stopped_ || std::holds_alternative<gpStop>(effect);
    }
  }

  /// Another entry links with this one.
  void LinkPeer()
  {
    gpLinkOpened opened;
    opened.link_ = kPeerLink;
    opened.peer_.role_ = gpRole::Entry;
    Feed(opened);
  }

  /// Another entry tells of jobs that have ended.
  void Learn(const std::vector<gpEndedJob>& aCancelled,
             const std::vector<gpEndedJob>& aCompleted)
  {
    gpEntryUpdate update;
    update.cancelled_ = aCancelled;
    update.completed_ = aCompleted;
    Feed(gpMessageReceived{ kPeerLink, update });
  }

  /// Handles aWakes timers, each aTime late, as when the process gets too
  /// little processor.
  void PassLate(gpMillis aTime, int aWakes)
  {
    for (int wake = 0; wake < aWakes; ++wake) {
      now_ = wakeAt_ + aTime;
      Feed(gpTimePassed{});
    }
  }

  void Pass(gpMillis aTime)
  {
    now_ += aTime;
    Feed(gpTimePassed{});
  }

  /// A job is submitted, and its run is refused as the target doesn't answer.
  void FailJob(std::uint64_t aJob)
  {
    Feed(
      gpLeaseJobSubmitted{ gpRequestId(aJob), MakeJob(std::to_string(aJob)) });
    EndRun(gpRunEnd::Unhealthy);
    Feed(gpMessageReceived{
      kLink, gpCapacityReport{ { 1000, 0, 0 }, ordered_.size() } });
  }

  /// The guard reports the end of the run ordered last.
  void EndRun(gpRunEnd aEnd)
  {
    Feed(gpMessageReceived{
      kLink, gpRunReport{ ordered_.back(), aEnd, gpMillis(5) } });
  }

  /// The guard reports that its target has crashed under the run ordered last,
  /// or looks so.
  void CrashTarget(std::uint64_t aNumber, gpCrashState aState)
  {
    gpTargetUpdate update = MakeUpdate();
    update.takesWork_ = false;
    update.crashes_ = { MakeCrash(aNumber, aState, ordered_.back()) };
    Feed(gpMessageReceived{ kLink, update });
    EndRun(gpRunEnd::Stopped);
    update.takesWork_ = true;
    Feed(gpMessageReceived{ kLink, update });
    Feed(gpMessageReceived{
      kLink, gpCapacityReport{ { 1000, 0, 0 }, ordered_.size() } });
  }

  std::map<gpRequestId, gpLeaseAnswer> answers_;
  std::vector<gpRunId> ordered_;
  std::set<std::string> contained_;
  /// The last update for an entry or the guard.
  std::optional<gpEntryUpdate> update_;
  /// The ended jobs of which other entries were told.
  std::vector<gpEndedJob> cancelledTold_;
  std::vector<gpEndedJob> completedTold_;
  /// Number of messages that did so.
  int endedUpdates_ = 0;
  bool connectionsClosed_ = false;
  bool stopped_ = false;

private:
  static gpTargetUpdate MakeUpdate()
  {
    gpTargetUpdate update;
    update.service_ = kService;
    update.dataCentre_ = gpDataCentreName("dc-1");
    update.capacity_ = { 1000, 0, 0 };
    update.takesWork_ = true;
    return update;
  }
  static gpLeaseEntryOptions Options(gpMillis aShutdown)
  {
    gpLeaseEntryOptions options;
    options.self_.dataCentre_ = gpDataCentreName("dc-1");
    options.firstRun_ = 1;
    options.shutdown_ = aShutdown;
    return options;
  }

  gpTime now_{ gpMillis(1000) };
  gpTime wakeAt_;
  gpLeaseEntryReducer entry_;
};

} // namespace

BOOST_AUTO_TEST_CASE(AtTheEndOfAShutdownAllJobsAreAnswered)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("first") });
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("second") });
  entry.Feed(gpShutdownRequested{});
  entry.Pass(kShutdown - gpMillis(1));
  BOOST_TEST(entry.answers_.empty());
  BOOST_TEST(!entry.stopped_);
  entry.Pass(gpMillis(1));
  BOOST_TEST(entry.stopped_);
  BOOST_REQUIRE(entry.answers_.size() == 2U);
  const gpLeaseAnswer& begun = entry.answers_.at(gpRequestId(1));
  BOOST_TEST((begun.outcome_ == gpLeaseOutcome::Failed));
  BOOST_TEST((begun.reason_ == gpLeaseReason::ShuttingDown));
  const gpLeaseAnswer& waiting = entry.answers_.at(gpRequestId(2));
  BOOST_TEST((waiting.outcome_ == gpLeaseOutcome::NotRun));
  BOOST_TEST(waiting.retryAfter_.has_value());
}

// A start whose answer was lost may have run; the guard ends this uncertainty
// with a stop. The job is placed again, and must not be answered not_run later.
BOOST_AUTO_TEST_CASE(AJobWhoseRunWasStoppedIsNotAnsweredNotRun)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  BOOST_REQUIRE(entry.ordered_.size() == 1U);
  entry.EndRun(gpRunEnd::Stopped);
  entry.Feed(gpMessageReceived{ kLink, gpCapacityReport{ { 1000, 0, 0 }, 1 } });
  BOOST_REQUIRE(entry.ordered_.size() == 2U);
  BOOST_TEST(entry.ordered_[0].number_ < entry.ordered_[1].number_);
  entry.Feed(gpLinkLost{ kLink, gpErrorCode::LinkSilent });
  entry.Pass(kCallerTimeout);
  BOOST_REQUIRE(entry.answers_.size() == 1U);
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(1)).outcome_ == gpLeaseOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(AJobThatEveryTargetRefusedIsAnsweredNotRun)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.EndRun(gpRunEnd::NoRoom);
  entry.Feed(gpLinkLost{ kLink, gpErrorCode::LinkSilent });
  entry.Pass(kCallerTimeout);
  BOOST_REQUIRE(entry.answers_.size() == 1U);
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(1)).outcome_ == gpLeaseOutcome::NotRun));
}

// Pattern: connection draining. Callers keep connections to an entry that is no
// longer ready. Those still connected when it starts to refuse new jobs would
// be refused needlessly.
BOOST_AUTO_TEST_CASE(ConnectionsAreClosedBeforeJobsAreRefusedAtShutdown)
{
  EntryWithGuard entry(kLongShutdown);
  entry.Feed(gpShutdownRequested{});
  // The load balancer needs two checks, one second apart, before it sends no
  // more connections.
  entry.Pass(gpMillis(2000));
  BOOST_TEST(!entry.connectionsClosed_);
  entry.Pass(gpMillis(300));
  BOOST_TEST(entry.connectionsClosed_);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 1U);
  entry.EndRun(gpRunEnd::Done);
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(1)).outcome_ == gpLeaseOutcome::Completed));
}

BOOST_AUTO_TEST_CASE(AtAShutdownOnlyJobsThatCantEndInTimeAreRefused)
{
  EntryWithGuard entry(kLongShutdown);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("first") });
  entry.Feed(gpShutdownRequested{});
  entry.Pass(kLongShutdown - gpMillis(700));
  gpLeaseJob longer = MakeJob("longer");
  longer.steps_[0].estimate_ = gpMillis(900);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), longer });
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  const gpLeaseAnswer& refusal = entry.answers_.at(gpRequestId(2));
  BOOST_TEST((refusal.outcome_ == gpLeaseOutcome::NotRun));
  BOOST_TEST((refusal.reason_ == gpLeaseReason::ShuttingDown));
  BOOST_TEST(refusal.retryAfter_.has_value());
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(3), MakeJob("short") });
  BOOST_TEST(!entry.answers_.contains(gpRequestId(3)));
  // The process ends with its last job, and accepts no more.
  entry.Feed(gpLeaseJobCancelled{ "first" });
  entry.Feed(gpLeaseJobCancelled{ "short" });
  BOOST_TEST(entry.stopped_);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(4), MakeJob("late") });
  BOOST_TEST(entry.answers_.contains(gpRequestId(4)));
}

// Guards against an overloaded entry that accepts jobs which waited unread for
// long, and so answers nearly all of them after their callers' timeouts.
BOOST_AUTO_TEST_CASE(ALaggingEntryRefusesJobsThatWouldStartTooLate)
{
  EntryWithGuard entry;
  entry.PassLate(gpMillis(100), 8);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeUrgentJob("urgent") });
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  const gpLeaseAnswer& refusal = entry.answers_.at(gpRequestId(1));
  BOOST_TEST((refusal.outcome_ == gpLeaseOutcome::NotRun));
  BOOST_TEST((refusal.reason_ == gpLeaseReason::Overloaded));
  BOOST_TEST(refusal.retryAfter_.has_value());
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("patient") });
  BOOST_TEST(entry.ordered_.size() == 1U);
  entry.EndRun(gpRunEnd::Done);
  entry.Feed(gpMessageReceived{ kLink, gpCapacityReport{ { 1000, 0, 0 }, 1 } });
  // The event loop lags no more.
  entry.PassLate(gpMillis(0), 1);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(3), MakeUrgentJob("again") });
  BOOST_TEST(entry.ordered_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ASingleLongEventCausesNoRefusal)
{
  EntryWithGuard entry;
  entry.PassLate(gpMillis(0), 4);
  entry.PassLate(gpMillis(1000), 1);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeUrgentJob("urgent") });
  BOOST_TEST(entry.ordered_.size() == 1U);
}

// Guards against a job that is answered only when its deadline has passed,
// though it's known that it will not be started again.
BOOST_AUTO_TEST_CASE(AJobWithADeadlyTaskIsFailedAtItsSecondCrash)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("deadly") });
  entry.CrashTarget(1, gpCrashState::Confirmed);
  BOOST_TEST(!entry.answers_.contains(gpRequestId(1)));
  entry.Pass(gpMillis(100));
  BOOST_REQUIRE(entry.ordered_.size() == 2U);
  entry.CrashTarget(2, gpCrashState::Confirmed);
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  const gpLeaseAnswer& answer = entry.answers_.at(gpRequestId(1));
  BOOST_TEST((answer.outcome_ == gpLeaseOutcome::Failed));
  BOOST_TEST((answer.reason_ == gpLeaseReason::TaskCrashes));
  // The caller submits it again.
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("deadly") });
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  BOOST_TEST(entry.ordered_.size() == 2U);
}

// An entry that has started after the crashes learns of them from its peers.
BOOST_AUTO_TEST_CASE(AnEntryThatLearnsOfCrashesFromPeersGivesTheJobUp)
{
  EntryWithGuard entry;
  gpEntryUpdate update;
  for (const std::uint64_t number : { 1, 2 }) {
    const gpRunId run{ "deadly.0.0.0", number };
    update.crashes_.push_back(MakeCrash(number, gpCrashState::Confirmed, run));
  }
  entry.Feed(gpMessageReceived{ gpLinkId(2), update });
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("deadly") });
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(1)).reason_ == gpLeaseReason::TaskCrashes));
  BOOST_TEST(entry.ordered_.empty());
}

// Guards against an entry that contains a queue only if the guard's report of a
// crash arrives before that of a peer, or if the guard is linked with it.
BOOST_AUTO_TEST_CASE(AnEntryContainsAQueueForCrashesThatPeersReport)
{
  EntryWithGuard entry;
  for (const std::uint64_t number : { 1, 2, 3 }) {
    gpEntryUpdate update;
    const gpRunId run{ std::to_string(number) + ".0.0.0", number };
    update.crashes_.push_back(MakeCrash(number, gpCrashState::Confirmed, run));
    entry.Pass(gpMillis(300));
    entry.Feed(gpMessageReceived{ gpLinkId(2), update });
  }
  BOOST_TEST((entry.contained_ == std::set<std::string>{ kQueue.value_ }));
}

// Guards against a target that gets no work after its return, as a peer's
// report of its crash has arrived before that of the guard.
BOOST_AUTO_TEST_CASE(ACrashedTargetIsUsedAtOnceIfAPeerReportedItsCrashFirst)
{
  EntryWithGuard entry;
  for (std::uint64_t job = 1; job <= 3; ++job) {
    entry.FailJob(job);
  }
  const std::size_t before = entry.ordered_.size();
  gpEntryUpdate update;
  update.crashes_.push_back(
    MakeCrash(1, gpCrashState::Suspected, entry.ordered_.back()));
  entry.Feed(gpMessageReceived{ gpLinkId(2), update });
  entry.CrashTarget(1, gpCrashState::Suspected);
  entry.Pass(gpMillis(1));
  BOOST_TEST(entry.ordered_.size() > before);
}

// Guards against a job that is shown as failed after a loss of its target that
// was no crash, such as a cut of its connections.
BOOST_AUTO_TEST_CASE(AJobIsNotShownAsFailedWhileItsCrashesAreUncertain)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("deadly") });
  entry.CrashTarget(1, gpCrashState::Suspected);
  entry.Pass(gpMillis(100));
  entry.CrashTarget(2, gpCrashState::Suspected);
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  BOOST_TEST((entry.answers_.at(gpRequestId(1)).reason_ ==
              gpLeaseReason::TaskSuspected));
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("deadly") });
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  const gpLeaseAnswer& refusal = entry.answers_.at(gpRequestId(2));
  BOOST_TEST((refusal.outcome_ == gpLeaseOutcome::NotRun));
  BOOST_TEST(refusal.retryAfter_.has_value());
  BOOST_TEST(entry.ordered_.size() == 2U);
}

// Guards against crashes that are remembered until the next one, as nothing
// else makes the entry forget.
BOOST_AUTO_TEST_CASE(CrashesAreForgottenThoughNoOtherFollows)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("deadly") });
  entry.CrashTarget(1, gpCrashState::Suspected);
  entry.Pass(gpMillis(100));
  entry.CrashTarget(2, gpCrashState::Suspected);
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  entry.Pass(std::chrono::minutes(3));
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("deadly") });
  BOOST_TEST(entry.ordered_.size() == 3U);
  // An entry that links now isn't told of them.
  gpLinkOpened opened;
  opened.link_ = gpLinkId(2);
  opened.peer_.role_ = gpRole::Entry;
  entry.Feed(opened);
  BOOST_REQUIRE(entry.update_.has_value());
  BOOST_TEST(entry.update_->crashes_.empty());
}

// Guards against a target that gets no work for a second or more after its
// return, as the calls that its crash has broken count as its failures.
BOOST_AUTO_TEST_CASE(ACrashedTargetIsUsedAtOnceWhenItIsBack)
{
  EntryWithGuard entry;
  for (std::uint64_t job = 1; job <= 3; ++job) {
    entry.FailJob(job);
  }
  const std::size_t before = entry.ordered_.size();
  entry.CrashTarget(1, gpCrashState::Suspected);
  entry.Pass(gpMillis(1));
  BOOST_TEST(entry.ordered_.size() > before);
}

// Guards against a cancelled job that starts again when its request arrives
// once more, seconds after its cancel was acknowledged.
BOOST_AUTO_TEST_CASE(ACancelledJobStaysCancelled)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.Feed(gpLeaseJobCancelled{ "job" });
  entry.EndRun(gpRunEnd::Stopped);
  entry.FreeTarget();
  entry.Pass(gpMillis(4000));
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 1U);
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(2)).outcome_ == gpLeaseOutcome::Cancelled));
}

// Guards against a job that starts, as its request arrives after its cancel.
BOOST_AUTO_TEST_CASE(AJobThatWasCancelledBeforeItArrivedIsNotStarted)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobCancelled{ "job" });
  entry.Pass(gpMillis(4000));
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  BOOST_TEST(entry.ordered_.empty());
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(1)).outcome_ == gpLeaseOutcome::Cancelled));
}

// Guards against a completed job that runs again when its request arrives once
// more, while no target takes work too.
BOOST_AUTO_TEST_CASE(ACompletedJobStaysCompleted)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.EndRun(gpRunEnd::Done);
  entry.FreeTarget();
  entry.Pass(gpMillis(4000));
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("job") });
  entry.Feed(gpLinkLost{ kLink, gpErrorCode::LinkSilent });
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(3), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 1U);
  for (const gpRequestId request : { gpRequestId(2), gpRequestId(3) }) {
    BOOST_REQUIRE(entry.answers_.contains(request));
    BOOST_TEST(
      (entry.answers_.at(request).outcome_ == gpLeaseOutcome::Completed));
  }
}

// Guards against a completed job that is answered from memory as completed
// though its caller has cancelled it since.
BOOST_AUTO_TEST_CASE(ACancelOfACompletedJobIsKept)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.EndRun(gpRunEnd::Done);
  entry.FreeTarget();
  entry.Feed(gpLeaseJobCancelled{ "job" });
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 1U);
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(2)).outcome_ == gpLeaseOutcome::Cancelled));
}

// Guards against a job that never runs, as a submission of it ended otherwise:
// its caller left, or was answered that it failed or wasn't run.
BOOST_AUTO_TEST_CASE(AJobWithoutAResultRunsAgain)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.Feed(gpCallerDisconnected{ gpRequestId(1) });
  entry.EndRun(gpRunEnd::Stopped);
  entry.FreeTarget();
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 2U);
  entry.Feed(gpLinkLost{ kLink, gpErrorCode::LinkSilent });
  entry.Pass(kCallerTimeout);
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(2)).outcome_ == gpLeaseOutcome::Failed));
  entry.Link();
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(3), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 3U);
}

// Guards against a memory that grows with all jobs ever ended.
BOOST_AUTO_TEST_CASE(AnEndedJobIsForgottenWhenItsRequestCantArriveAnyMore)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.Feed(gpLeaseJobCancelled{ "job" });
  entry.EndRun(gpRunEnd::Stopped);
  entry.FreeTarget();
  entry.Pass(kLatestRepeat);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("job") });
  BOOST_TEST(entry.ordered_.size() == 2U);
}

// Guards against a cancelled job that starts at another entry, when its request
// arrives there once more. A cancel of a job that this entry doesn't have is
// told too, as the job may be in progress elsewhere.
BOOST_AUTO_TEST_CASE(EntriesTellEachOtherOfCancelledJobs)
{
  EntryWithGuard first;
  first.LinkPeer();
  first.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  first.Feed(gpLeaseJobCancelled{ "job" });
  first.Pass(gpMillis(20));
  first.Feed(gpLeaseJobCancelled{ "other" });
  BOOST_REQUIRE(first.cancelledTold_.size() == 2U);
  EntryWithGuard second;
  second.Learn(first.cancelledTold_, {});
  second.Pass(gpMillis(4000));
  std::uint64_t request = 0;
  for (const std::string id : { "job", "other" }) {
    second.Feed(gpLeaseJobSubmitted{ gpRequestId(++request), MakeJob(id) });
    BOOST_REQUIRE(second.answers_.contains(gpRequestId(request)));
    BOOST_TEST((second.answers_.at(gpRequestId(request)).outcome_ ==
                gpLeaseOutcome::Cancelled));
  }
  BOOST_TEST(second.ordered_.empty());
}

// Guards against a job that works on at one entry after it was cancelled at
// another one.
BOOST_AUTO_TEST_CASE(AJobInProgressIsEndedByACancelAtAnotherEntry)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  entry.Learn({ { "job", gpMillis(3) } }, {});
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(1)));
  BOOST_TEST(
    (entry.answers_.at(gpRequestId(1)).outcome_ == gpLeaseOutcome::Cancelled));
}

// Guards against cancels that reach only the entries that are linked with the
// one that was asked, and against cancels that are passed on without end.
BOOST_AUTO_TEST_CASE(CancelledJobsArePassedOnOnce)
{
  EntryWithGuard entry;
  entry.LinkPeer();
  entry.Learn({ { "job", gpMillis(3) } }, {});
  BOOST_REQUIRE(entry.cancelledTold_.size() == 1U);
  BOOST_TEST(entry.cancelledTold_.front().id_ == "job");
  entry.Pass(gpMillis(20));
  entry.Learn({ { "job", gpMillis(5) } }, {});
  entry.Pass(gpMillis(20));
  BOOST_TEST(entry.cancelledTold_.size() == 1U);
}

// Guards against an entry that starts a cancelled job, as it was itself started
// after the cancel, or couldn't be reached then.
BOOST_AUTO_TEST_CASE(AnEntryThatLinksIsToldOfCancelledJobs)
{
  EntryWithGuard entry;
  entry.Feed(gpLeaseJobCancelled{ "job" });
  entry.Pass(gpMillis(2000));
  entry.LinkPeer();
  BOOST_REQUIRE(entry.cancelledTold_.size() == 1U);
  BOOST_TEST((entry.cancelledTold_.front().age_ == gpMillis(2000)));
}

// Guards against one message for each of many jobs that end.
BOOST_AUTO_TEST_CASE(EndedJobsAreToldTogether)
{
  EntryWithGuard entry;
  entry.LinkPeer();
  for (int job = 0; job < 100; ++job) {
    entry.Feed(gpLeaseJobCancelled{ std::to_string(job) });
  }
  BOOST_TEST(entry.endedUpdates_ == 1);
  entry.Pass(gpMillis(20));
  BOOST_TEST(entry.endedUpdates_ == 2);
  BOOST_TEST(entry.cancelledTold_.size() == 100U);
}

// Guards against a completed job that runs again at an entry that is linked
// with the one that completed it. It isn't passed on: there are too many.
BOOST_AUTO_TEST_CASE(LinkedEntriesAreToldOfCompletedJobs)
{
  EntryWithGuard first;
  first.LinkPeer();
  first.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  first.EndRun(gpRunEnd::Done);
  BOOST_REQUIRE(first.completedTold_.size() == 1U);
  EntryWithGuard second;
  second.LinkPeer();
  second.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("job") });
  second.Learn({}, first.completedTold_);
  second.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("job") });
  second.Pass(gpMillis(20));
  for (const gpRequestId request : { gpRequestId(1), gpRequestId(2) }) {
    BOOST_REQUIRE(second.answers_.contains(request));
    BOOST_TEST(
      (second.answers_.at(request).outcome_ == gpLeaseOutcome::Completed));
  }
  BOOST_TEST(second.ordered_.size() == 1U);
  BOOST_TEST(second.completedTold_.empty());
}

// Guards against a cancel that was acknowledged by an entry which ends before
// it has told the others.
BOOST_AUTO_TEST_CASE(AnEntryThatEndsTellsOfItsLastCancelledJobs)
{
  EntryWithGuard entry;
  entry.LinkPeer();
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), MakeJob("first") });
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("last") });
  entry.Feed(gpShutdownRequested{});
  entry.Pass(kShutdown - gpMillis(1000));
  entry.Feed(gpLeaseJobCancelled{ "first" });
  entry.Feed(gpLeaseJobCancelled{ "last" });
  BOOST_TEST(entry.stopped_);
  BOOST_TEST(entry.cancelledTold_.size() == 2U);
}

// Guards against callers whose jobs of a few bytes have far more tasks than the
// entry has memory for.
BOOST_AUTO_TEST_CASE(JobsOverTheMostTasksAreRefusedUntilOthersHaveEnded)
{
  EntryWithGuard entry;
  gpLeaseJob large = MakeJob("large");
  large.steps_[0].count_ = static_cast<std::uint32_t>(gpClientLimits{}.tasks_);
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(1), large });
  BOOST_TEST(!entry.answers_.contains(gpRequestId(1)));
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(2), MakeJob("small") });
  BOOST_REQUIRE(entry.answers_.contains(gpRequestId(2)));
  const gpLeaseAnswer& refusal = entry.answers_.at(gpRequestId(2));
  BOOST_TEST((refusal.outcome_ == gpLeaseOutcome::NotRun));
  BOOST_TEST((refusal.reason_ == gpLeaseReason::TooManyTasks));
  BOOST_TEST(refusal.retryAfter_.has_value());
  entry.Feed(gpCallerDisconnected{ gpRequestId(1) });
  entry.Feed(gpLeaseJobSubmitted{ gpRequestId(3), MakeJob("again") });
  BOOST_TEST(!entry.answers_.contains(gpRequestId(3)));
}

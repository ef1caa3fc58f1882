#define BOOST_TEST_MODULE gpLeaseGuard
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "gpLeaseGuardReducer.h"
#include "gpLeaseTimings.h"

namespace {

const gpServiceName kService("pond-order");
const gpLinkId kLink(1);
const gpRunId kRun{ "job.0.0.1", 1 };
/// Network delay to the target and back.
constexpr gpMillis kRoundTrip{ 1 };
/// Upper bound of calls to an unreachable target; their cost is negligible at
/// this rate.
constexpr int kMostCallsASecond = 20;

gpTargetAnnouncement
MakeTarget(std::uint64_t aSequence, bool aIsDraining = false)
{
  gpTargetAnnouncement target;
  target.id_ = "t-1";
  target.startTime_ = 1;
  target.sequence_ = aSequence;
  target.draining_ = aIsDraining;
  target.service_ = kService;
  target.capacity_ = { 4000, 0, 0 };
  return target;
}

/// A guard with one linked entry, and a target that gives the same answer to
/// each call while RunFor runs.
class GuardWithTarget
{
public:
  explicit GuardWithTarget(bool aIsDraining = false)
    : GuardWithTarget(WithoutHeartbeat{})
  {
    Feed(gpHeartbeatReceived{ MakeTarget(1, aIsDraining) });
  }

  /// Selects the constructor of a guard that does not know its target yet.
  struct WithoutHeartbeat
  {};
  explicit GuardWithTarget(WithoutHeartbeat /*aTag*/)
  {
    Link(kLink, gpIncarnation(7), "entry:1");
  }

  /// Links the guard with an entry.
  void Link(gpLinkId aLink, gpIncarnation aEntry, const std::string& aAddress)
  {
    gpLinkOpened opened;
    opened.link_ = aLink;
    opened.peer_.role_ = gpRole::Entry;
    opened.peer_.incarnation_ = aEntry;
    opened.dialed_ = gpAddress(aAddress);
    Feed(opened);
  }

  void Feed(decltype(gpLeaseGuardEvent::input_) aInput)
  {
    for (gpLeaseEffect& effect : guard_.Reduce({ now_, std::move(aInput) })) {
      if (std::holds_alternative<gpStopRun>(effect) ||
          std::holds_alternative<gpPollTarget>(effect) ||
          std::holds_alternative<gpIdentifyTarget>(effect) ||
          std::holds_alternative<gpStartRun>(effect)) {
        starts_ += std::holds_alternative<gpStartRun>(effect) ? 1 : 0;
        const auto* poll = std::get_if<gpPollTarget>(&effect);
        if (poll != nullptr && poll->leaseEnd_.has_value()) {
          ++renewals_;
          leaseEnd_ = *poll->leaseEnd_;
        }
        calls_.push_back(std::move(effect));
      } else if (std::holds_alternative<gpCloseLink>(effect)) {
        ++closedLinks_;
      } else if (std::holds_alternative<gpStoreTargetRecord>(effect)) {
        ++stored_;
      } else if (const auto* send = std::get_if<gpSend>(&effect)) {
        reports_ += std::holds_alternative<gpRunReport>(send->message_) ? 1 : 0;
        if (const auto* update = std::get_if<gpTargetUpdate>(&send->message_)) {
          crashes_ = update->crashes_;
        }
      }
    }
  }

  bool KnowsTarget() const { return guard_.GetStatus().targetKnown_; }

  /// aEnforced tells the guard that the target itself refuses what doesn't fit.
  void StartRun(bool aEnforced = true) { Order(kLink, kRun, aEnforced); }
  void Order(gpLinkId aLink, const gpRunId& aRun, bool aEnforced = true)
  {
    gpRunOrder order;
    order.capacityEnforced_ = aEnforced;
    order.runs_.push_back(aRun);
    order.needs_ = { 1000, 0, 0 };
    Feed(gpMessageReceived{ aLink, order });
  }

  /// Calls to start or stop a run that haven't been answered.
  template<typename Call>
  std::size_t CountInFlight() const
  {
    return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [](const auto& aCall) {
        return std::holds_alternative<Call>(aCall);
      }));
  }
  /// Orders many runs that need nothing, and returns them.
  std::vector<gpRunId> OrderMany(std::size_t aCount)
  {
    gpRunOrder order;
    order.capacityEnforced_ = true;
    for (std::size_t run = 0; run < aCount; ++run) {
      order.runs_.push_back({ "job.0.0." + std::to_string(run), 1 });
    }
    Feed(gpMessageReceived{ kLink, order });
    return order.runs_;
  }

  /// Answers all calls with aReply, each after kRoundTrip, for aTime.
  void RunFor(gpMillis aTime, gpOrderReply aReply)
  {
    for (const gpTime end = now_ + aTime; now_ < end; now_ += kRoundTrip) {
      for (const gpLeaseEffect& call : std::exchange(calls_, {})) {
        Answer(call, aReply);
      }
      Feed(gpTimePassed{});
    }
  }

  /// Passes time in which the process isn't scheduled.
  void Suspend(gpMillis aTime) { now_ += aTime; }

  int starts_ = 0;
  int closedLinks_ = 0;
  /// Records of the target that were to be stored.
  int stored_ = 0;
  int stops_ = 0;
  int polls_ = 0;
  /// Questions which incarnation the target is.
  int asks_ = 0;
  /// Ends of runs that were reported to the entry.
  int reports_ = 0;
  /// The crashes of which the entry was told last.
  std::vector<gpTargetCrash> crashes_;
  /// The ID of the incarnation that answers.
  std::string id_ = "t-1";
  /// The start time that answers to polls contain.
  std::uint64_t startTime_ = 0;
  /// The runs that answers to polls list.
  std::vector<gpRunId> running_;
  /// The reply to stops, and to questions which incarnation the target is, if
  /// it's another one than that to the other calls.
  std::optional<gpOrderReply> stopReply_;
  std::optional<gpOrderReply> askReply_;
  /// Polls that renewed the lease.
  int renewals_ = 0;
  /// The end of the lease that the last of them asked for.
  std::uint64_t leaseEnd_ = 0;
  /// The fence of the last poll.
  std::uint64_t polledFence_ = 0;
  /// The highest fence that the target has seen. It refuses lower ones.
  std::uint64_t seenFence_ = 0;

private:
  /// The reply to a call with this fence that would be answered with aReply.
  gpOrderReply CheckFence(std::uint64_t aFence, gpOrderReply aReply)
  {
    if (aReply != gpOrderReply::Accepted) {
      return aReply;
    }
    if (aFence < seenFence_) {
      return gpOrderReply::Fence;
    }
    seenFence_ = aFence;
    return aReply;
  }

  void Answer(const gpLeaseEffect& aCall, gpOrderReply aReply)
  {
    if (const auto* stop = std::get_if<gpStopRun>(&aCall)) {
      ++stops_;
      const gpOrderReply reply =
        CheckFence(stop->fence_, stopReply_.value_or(aReply));
      Feed(gpStopReplied{ stop->run_, reply, 0 });
    } else if (const auto* start = std::get_if<gpStartRun>(&aCall)) {
      const gpOrderReply reply = CheckFence(start->fence_, aReply);
      Feed(gpStartReplied{ start->run_, reply, 0 });
    } else if (const auto* call = std::get_if<gpIdentifyTarget>(&aCall)) {
      ++asks_;
      const gpOrderReply reply = askReply_.value_or(aReply);
      const bool isOther = reply == gpOrderReply::Accepted && call->id_ != id_;
      Feed(gpTargetIdentified{
        call->id_, isOther ? gpOrderReply::OtherTarget : reply, startTime_ });
    } else {
      ++polls_;
      gpPollReplied seen;
      seen.sentAt_ = now_;
      seen.startTime_ = startTime_;
      polledFence_ = std::get<gpPollTarget>(aCall).fence_;
      seen.reply_ = CheckFence(polledFence_, aReply);
      seen.running_ = running_;
      Feed(seen);
    }
  }

  gpTime now_{ gpMillis(1000) };
  gpLeaseGuardReducer guard_{ { .name_ = "guard-1",
                                .service_ = kService,
                                .dataCentre_ = gpDataCentreName("dc-1"),
                                .fence_ = 1000,
                                .shutdown_ = gpMillis(1000) } };
  std::vector<gpLeaseEffect> calls_;
};

} // namespace

BOOST_AUTO_TEST_CASE(UnansweredStopsAreRepeatedAtALimitedRate)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  guard.stops_ = 0;
  guard.RunFor(gpMillis(500), gpOrderReply::Silent);
  BOOST_TEST(guard.stops_ >= 2);
  BOOST_TEST(guard.stops_ <= kMostCallsASecond / 2);
}

BOOST_AUTO_TEST_CASE(AnUnreachableTargetIsPolledAtALimitedRate)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.polls_ = 0;
  guard.RunFor(gpMillis(2000), gpOrderReply::NotSent);
  BOOST_TEST(guard.polls_ >= 4);
  BOOST_TEST(guard.polls_ <= 2 * kMostCallsASecond);
}

BOOST_AUTO_TEST_CASE(AHeartbeatEndsThePauseBetweenPolls)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(1000), gpOrderReply::NotSent);
  guard.polls_ = 0;
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2) });
  guard.RunFor(gpMillis(3), gpOrderReply::Accepted);
  BOOST_TEST(guard.polls_ >= 1);
}

// An order that arrived before the guard was suspended must not be carried out:
// the entry has closed the link meanwhile and counts the run as ended.
BOOST_AUTO_TEST_CASE(AResumedGuardDropsOrdersFromBeforeItsSuspension)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Suspend(gpMillis(2000));
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
  BOOST_TEST(guard.closedLinks_ == 1);
}

BOOST_AUTO_TEST_CASE(ANewGuardStartsNoRunAtADrainingTarget)
{
  GuardWithTarget guard(true);
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
}

BOOST_AUTO_TEST_CASE(AnOutdatedHeartbeatDoesNotEndADrain)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(3, true) });
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2) });
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
}

BOOST_AUTO_TEST_CASE(AGuardStartsAnOrderedRunAtAHealthyTarget)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

/// A restarted guard, which has read a record of its target.
class RestartedGuard : public GuardWithTarget
{
public:
  RestartedGuard()
    : RestartedGuard(true)
  {
  }
  explicit RestartedGuard(bool aEnforced)
    : GuardWithTarget(WithoutHeartbeat{})
  {
    Feed(gpTargetRecordRead{ { MakeTarget(1), aEnforced } });
  }
};

// Guards against a target that stays idle after a restart of its guard until
// it sends its next heartbeat, which takes up to a heartbeat period.
BOOST_AUTO_TEST_CASE(ARestartedGuardTakesWorkBeforeTheNextHeartbeat)
{
  RestartedGuard guard;
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
  BOOST_TEST(guard.stored_ == 0);
}

BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierIncarnationIsDropped)
{
  RestartedGuard guard;
  guard.RunFor(gpMillis(20), gpOrderReply::OtherTarget);
  BOOST_TEST(!guard.KnowsTarget());
  // The clock of the present incarnation may be behind.
  gpTargetAnnouncement other = MakeTarget(1);
  other.id_ = "t-2";
  other.startTime_ = 0;
  guard.Feed(gpHeartbeatReceived{ other });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
  BOOST_TEST(guard.stored_ == 1);
}

BOOST_AUTO_TEST_CASE(ARecordOfAnUnreachableTargetGivesItNoWork)
{
  RestartedGuard guard;
  guard.RunFor(gpMillis(100), gpOrderReply::NotSent);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
}

BOOST_AUTO_TEST_CASE(ARecordDoesNotReplaceWhatAHeartbeatHasTold)
{
  GuardWithTarget guard;
  BOOST_TEST(guard.stored_ == 1);
  gpTargetAnnouncement older = MakeTarget(9);
  older.id_ = "t-0";
  guard.Feed(gpTargetRecordRead{ { older, true } });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

BOOST_AUTO_TEST_CASE(TheRecordIsStoredWhenTheTargetStartsToLeave)
{
  GuardWithTarget guard;
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2) });
  BOOST_TEST(guard.stored_ == 1);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(3, true) });
  BOOST_TEST(guard.stored_ == 2);
}

// Guards against a start that brings a target over its capacity, which has
// shrunk while the guard was restarted.
BOOST_AUTO_TEST_CASE(ARecordedCapacityIsNotUsedIfTheTargetDoesNotEnforceIt)
{
  RestartedGuard guard(false);
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun(false);
  BOOST_TEST(guard.starts_ == 0);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2) });
  guard.StartRun(false);
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against a start that brings a target over its capacity, which has
// shrunk since the last heartbeat that reached the guard.
BOOST_AUTO_TEST_CASE(ACapacityIsNotUsedForLongAfterTheLastHeartbeat)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun(false);
  BOOST_TEST(guard.starts_ == 1);
  guard.RunFor(gpMillis(4100), gpOrderReply::Accepted);
  guard.StartRun(false);
  BOOST_TEST(guard.starts_ == 1);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2) });
  guard.StartRun(false);
  BOOST_TEST(guard.starts_ == 2);
}

BOOST_AUTO_TEST_CASE(ATargetThatEnforcesItsCapacityNeedsNoRecentHeartbeat)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun(true);
  guard.RunFor(gpMillis(4100), gpOrderReply::Accepted);
  guard.StartRun(true);
  BOOST_TEST(guard.starts_ == 2);
}

// The configuration may have changed since the record was stored.
BOOST_AUTO_TEST_CASE(AnOrderEndsTheUseOfARecordedCapacity)
{
  RestartedGuard guard(true);
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun(false);
  BOOST_TEST(guard.starts_ == 0);
}

BOOST_AUTO_TEST_CASE(TheRecordSaysWhetherTheTargetEnforcesItsCapacity)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  BOOST_TEST(guard.stored_ == 1);
  guard.StartRun(true);
  BOOST_TEST(guard.stored_ == 2);
}

BOOST_AUTO_TEST_CASE(AShrunkCapacityCountsTheRunsThatAreBeingStopped)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun(false);
  guard.Feed(gpMessageReceived{ kLink, gpRunCancel{ { kRun } } });
  gpTargetAnnouncement shrunk = MakeTarget(2);
  shrunk.capacity_ = { 1500, 0, 0 };
  guard.Feed(gpHeartbeatReceived{ shrunk });
  gpRunOrder order;
  order.runs_.push_back({ "other.0.0.0", 2 });
  order.needs_ = { 1000, 0, 0 };
  guard.Feed(gpMessageReceived{ kLink, order });
  BOOST_TEST(guard.starts_ == 1);
}

// An order for the earlier incarnation under the same ID may arrive late and
// extend the lease as far as the target allows. Guards against a second run of
// a task at one time, after the guard has reported the first one as ended.
BOOST_AUTO_TEST_CASE(ARestartedTargetMayHoldTheLongestLease)
{
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.RunFor(gpMillis(1500), gpOrderReply::Accepted);
  guard.startTime_ = 2;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  gpTargetAnnouncement restarted = MakeTarget(2);
  restarted.startTime_ = 2;
  guard.Feed(gpHeartbeatReceived{ restarted });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_REQUIRE(guard.starts_ == 1);
  guard.RunFor(gpMillis(900), gpOrderReply::Silent);
  BOOST_TEST(guard.reports_ == 0);
  guard.RunFor(gpMillis(300), gpOrderReply::Silent);
  BOOST_TEST(guard.reports_ == 1);
}

// Guards against a target that was only cut off for a while and whose tasks
// are held to have crashed it.
BOOST_AUTO_TEST_CASE(ACrashIsRefutedWhenTheTargetAnswersAgain)
{
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  guard.RunFor(gpMillis(100), gpOrderReply::NotSent);
  BOOST_REQUIRE(guard.crashes_.size() == 1U);
  BOOST_TEST((guard.crashes_[0].state_ == gpCrashState::Suspected));
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  BOOST_REQUIRE(guard.crashes_.size() == 1U);
  BOOST_TEST((guard.crashes_[0].state_ == gpCrashState::Refuted));
}

BOOST_AUTO_TEST_CASE(ACrashIsConfirmedByTheNextIncarnation)
{
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  guard.RunFor(gpMillis(100), gpOrderReply::NotSent);
  guard.startTime_ = 2;
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  BOOST_REQUIRE(guard.crashes_.size() == 1U);
  BOOST_TEST((guard.crashes_[0].state_ == gpCrashState::Confirmed));
}

namespace {

/// A heartbeat as another writer may send it to the guard of t-1: well-formed,
/// and of a life that began later.
gpTargetAnnouncement
MakeForeignHeartbeat(const std::string& aId)
{
  gpTargetAnnouncement foreign = MakeTarget(1);
  foreign.id_ = aId;
  foreign.startTime_ = 9;
  return foreign;
}

} // namespace

// Guards against a second run of a task at one time: a heartbeat of another
// writer was taken for a new life of the target, whose runs were reported as
// ended while they ran on.
BOOST_AUTO_TEST_CASE(AForeignHeartbeatEndsNoRunOfALiveTarget)
{
  for (const char* id : { "t-9", "t-1" }) {
    BOOST_TEST_CONTEXT(id)
    {
      GuardWithTarget guard;
      guard.startTime_ = 1;
      guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
      guard.StartRun();
      guard.running_ = { kRun };
      guard.Feed(gpHeartbeatReceived{ MakeForeignHeartbeat(id) });
      guard.RunFor(gpMillis(3), gpOrderReply::Accepted);
      BOOST_TEST(guard.reports_ == 0);
      BOOST_TEST(guard.stops_ == 0);
    }
  }
}

// Guards against a live target that gets no work any more, or whose successor
// isn't found, after a step of the clock.
BOOST_AUTO_TEST_CASE(ANewIncarnationWithAnEarlierStartTimeIsUsed)
{
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.RunFor(gpMillis(100), gpOrderReply::NotSent);
  gpTargetAnnouncement successor = MakeTarget(1);
  successor.id_ = "t-2";
  successor.startTime_ = 0;
  guard.id_ = successor.id_;
  guard.startTime_ = 0;
  guard.Feed(gpHeartbeatReceived{ successor });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against a true heartbeat that isn't looked at, as its question to the
// target got no answer.
BOOST_AUTO_TEST_CASE(ATargetIsAskedAgainForAClaimWithoutAnAnswer)
{
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  gpTargetAnnouncement successor = MakeTarget(1);
  successor.id_ = "t-2";
  successor.startTime_ = 5;
  guard.Feed(gpHeartbeatReceived{ successor });
  guard.RunFor(gpMillis(100), gpOrderReply::Silent);
  guard.id_ = successor.id_;
  guard.startTime_ = successor.startTime_;
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against new work for a leaving target: a foreign heartbeat of its
// incarnation had a sequence number that was ahead, so all later ones were
// ignored.
BOOST_AUTO_TEST_CASE(AHeartbeatWithAHighSequenceNumberDoesNotHideADrain)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(100) });
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2, true) });
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
}

// Guards against new work for a leaving target, after one heartbeat of another
// writer, or delayed ones that arrive together.
BOOST_AUTO_TEST_CASE(OnlyASeriesOfHeartbeatsEndsADrain)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(5, true) });
  for (const std::uint64_t sequence : { 6, 7, 8, 9 }) {
    guard.Feed(gpHeartbeatReceived{ MakeTarget(sequence) });
  }
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
  for (const std::uint64_t sequence : { 10, 11, 12 }) {
    guard.RunFor(gpMillis(500), gpOrderReply::Accepted);
    guard.Feed(gpHeartbeatReceived{ MakeTarget(sequence) });
  }
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against a live target that gets no work until it restarts, after a
// call of another writer said that it had ended.
BOOST_AUTO_TEST_CASE(ATargetThatGoesOnSendingHasNotEnded)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Feed(gpTargetEnded{ "t-1" });
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
  for (const std::uint64_t sequence : { 2, 3, 4 }) {
    guard.RunFor(gpMillis(500), gpOrderReply::Accepted);
    guard.Feed(gpHeartbeatReceived{ MakeTarget(sequence) });
  }
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against an old state of the target, after a foreign heartbeat with a
// high sequence number.
BOOST_AUTO_TEST_CASE(ASeriesBelowASingleSequenceNumberIsFollowed)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(1000) });
  gpTargetAnnouncement shrunk = MakeTarget(2);
  shrunk.capacity_ = { 500, 0, 0 };
  for (const std::uint64_t sequence : { 2, 3, 4 }) {
    guard.RunFor(gpMillis(500), gpOrderReply::Accepted);
    shrunk.sequence_ = sequence;
    guard.Feed(gpHeartbeatReceived{ shrunk });
  }
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
}

namespace {

/// A heartbeat of an incarnation that the guard doesn't know.
gpTargetAnnouncement
MakeSuccessor(const std::string& aId,
              std::uint64_t aStartTime,
              std::uint64_t aSequence,
              bool aIsDraining = false)
{
  gpTargetAnnouncement successor = MakeTarget(aSequence, aIsDraining);
  successor.id_ = aId;
  successor.startTime_ = aStartTime;
  return successor;
}

/// A guard with a run at t-1, whose machine then fails silently.
class GuardOfLostTarget : public GuardWithTarget
{
public:
  GuardOfLostTarget()
  {
    startTime_ = 1;
    RunFor(gpMillis(20), gpOrderReply::Accepted);
    StartRun();
    running_ = { kRun };
    RunFor(gpMillis(20), gpOrderReply::Accepted);
  }

  /// Another incarnation is there from now on, and runs nothing.
  void Replace(const std::string& aId, std::uint64_t aStartTime)
  {
    id_ = aId;
    startTime_ = aStartTime;
    running_.clear();
  }
};

} // namespace

// Guards against a new incarnation that is found only a heartbeat later, as a
// foreign heartbeat came before the target had answered.
BOOST_AUTO_TEST_CASE(AForeignHeartbeatDoesNotReplaceATrueClaim)
{
  GuardOfLostTarget guard;
  guard.Replace("t-2", 5);
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-2", 5, 1) });
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-9", 9, 1) });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  BOOST_TEST(guard.reports_ == 1);
  BOOST_TEST(guard.crashes_.size() == 1U);
}

// Guards against new work for a leaving target, whose drain is forgotten when
// the target is asked about an earlier heartbeat.
BOOST_AUTO_TEST_CASE(AnEarlierHeartbeatDoesNotReplaceAClaim)
{
  GuardOfLostTarget guard;
  guard.Replace("t-2", 5);
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-2", 5, 2, true) });
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-2", 5, 1) });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  const int starts = guard.starts_;
  guard.StartRun();
  BOOST_TEST(guard.starts_ == starts);
}

// Guards against the same, when a later heartbeat was accepted meanwhile.
BOOST_AUTO_TEST_CASE(AClaimThatIsAnsweredLateDoesNotUndoALaterHeartbeat)
{
  GuardOfLostTarget guard;
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-1", 2, 1) });
  guard.Feed(gpTargetIdentified{ "t-1", gpOrderReply::Silent, 0 });
  gpPollReplied answer;
  answer.sentAt_ = gpTime(gpMillis(1000000));
  answer.startTime_ = 2;
  answer.reply_ = gpOrderReply::Accepted;
  guard.Replace("t-1", 2);
  guard.Feed(answer);
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-1", 2, 2, true) });
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  const int starts = guard.starts_;
  guard.StartRun();
  BOOST_TEST(guard.starts_ == starts);
}

// Guards against a guard whose calls to its target wait behind questions.
BOOST_AUTO_TEST_CASE(AFloodOfForeignHeartbeatsCausesFewQuestions)
{
  constexpr int kMostAsks = 10;
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  for (int number = 0; number < 1000; ++number) {
    guard.Feed(gpHeartbeatReceived{
      MakeSuccessor("t-9" + std::to_string(number), 9, 1) });
  }
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  BOOST_TEST(guard.asks_ > 0);
  BOOST_TEST(guard.asks_ <= kMostAsks);
}

// Guards against a guard that starts with a foreign heartbeat, and then gives
// its own target no work until the next one, or never.
BOOST_AUTO_TEST_CASE(AGuardThatStartsWithForeignHeartbeatsFindsItsTarget)
{
  GuardWithTarget guard{ GuardWithTarget::WithoutHeartbeat{} };
  guard.startTime_ = 1;
  for (const char* id : { "t-7", "t-8", "t-9" }) {
    guard.Feed(gpHeartbeatReceived{ MakeSuccessor(id, 9, 1) });
  }
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 0);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(1) });
  guard.RunFor(gpMillis(100), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against a target that is asked without end about a claim of a writer
// that is gone, as no question gets an answer.
BOOST_AUTO_TEST_CASE(AClaimWithoutAnAnswerIsDropped)
{
  constexpr int kSeconds = 10;
  GuardWithTarget guard;
  guard.startTime_ = 1;
  guard.askReply_ = gpOrderReply::Silent;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-9", 9, 1) });
  guard.RunFor(gpMillis(1000), gpOrderReply::Accepted);
  BOOST_TEST(guard.asks_ > 1);
  BOOST_TEST(guard.asks_ <= kMostCallsASecond);
  guard.RunFor(gpMillis(1000 * kSeconds), gpOrderReply::Accepted);
  const int asksBefore = guard.asks_;
  guard.RunFor(gpMillis(1000 * kSeconds), gpOrderReply::Accepted);
  BOOST_TEST(guard.asks_ == asksBefore);
}

// Guards against new work for a leaving target, whose drain is forgotten with a
// foreign heartbeat of its incarnation before the target has answered.
BOOST_AUTO_TEST_CASE(AHeartbeatWithAHighSequenceNumberDoesNotHideADrainInAClaim)
{
  for (const bool isForeignFirst : { false, true }) {
    BOOST_TEST_CONTEXT("the foreign one comes first: " << isForeignFirst)
    {
      GuardOfLostTarget guard;
      guard.Replace("t-2", 5);
      const gpTargetAnnouncement foreign = MakeSuccessor("t-2", 5, 1000);
      const gpTargetAnnouncement leaving = MakeSuccessor("t-2", 5, 2, true);
      guard.Feed(gpHeartbeatReceived{ isForeignFirst ? foreign : leaving });
      guard.Feed(gpHeartbeatReceived{ isForeignFirst ? leaving : foreign });
      guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
      const int starts = guard.starts_;
      guard.StartRun();
      BOOST_TEST(guard.starts_ == starts);
    }
  }
}

// Guards against a lease that is longer at the target than its guard believes:
// its end was counted from the clock in an answer of an earlier incarnation.
BOOST_AUTO_TEST_CASE(AnAnswerOfAnEarlierIncarnationDoesNotSetTheClock)
{
  constexpr std::uint64_t kEarlierClock = 1000000;
  GuardOfLostTarget guard;
  guard.Replace("t-2", 5);
  guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-2", 5, 1) });
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Order(kLink, { "next.0.0.1", 2 });
  guard.Feed(gpStartReplied{ kRun, gpOrderReply::Accepted, kEarlierClock });
  guard.Feed(gpStopReplied{ kRun, gpOrderReply::Accepted, kEarlierClock });
  guard.renewals_ = 0;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  BOOST_TEST(guard.renewals_ > 0);
  BOOST_TEST(guard.leaseEnd_ < kEarlierClock);
}

// Guards against a second run of a task at one time: a guard that knows an
// entry under two addresses told it on the second link which runs it holds, and
// then carried out an order that the entry had sent on the first one.
BOOST_AUTO_TEST_CASE(OrdersOfAnEarlierLinkOfAnEntryAreNotCarriedOut)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.StartRun();
  guard.running_ = { kRun };
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.Link(gpLinkId(2), gpIncarnation(7), "entry-by-another-name:1");
  const int starts = guard.starts_;
  guard.Order(kLink, { "next.0.0.1", 2 });
  BOOST_TEST(guard.starts_ == starts);
  // The entry has closed its end of the first link, and counts its runs as
  // ended after kLinkLossBound.
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  BOOST_TEST(guard.stops_ > 0);
}

// Guards against a crash that is reported without its runs, or without the one
// to blame: answers of the next incarnation were taken for the known one's.
BOOST_AUTO_TEST_CASE(AnswersOfTheNextIncarnationDoNotHideTheLostRuns)
{
  for (const bool isStopped : { false, true }) {
    BOOST_TEST_CONTEXT("a stop is answered first: " << isStopped)
    {
      GuardOfLostTarget guard;
      guard.RunFor(gpMillis(200), gpOrderReply::Silent);
      guard.Feed(gpMessageReceived{ kLink, gpRunCancel{ { kRun } } });
      guard.RunFor(gpMillis(50), gpOrderReply::Silent);
      guard.Replace("t-1", 5);
      guard.Feed(gpHeartbeatReceived{ MakeSuccessor("t-1", 5, 1) });
      if (isStopped) {
        guard.Feed(gpStopReplied{ kRun, gpOrderReply::Accepted, 0 });
      }
      guard.RunFor(gpMillis(50), gpOrderReply::Accepted);
      BOOST_REQUIRE(guard.crashes_.size() == 1U);
      BOOST_REQUIRE(guard.crashes_[0].runs_.size() == 1U);
      BOOST_TEST(guard.crashes_[0].runs_[0].suspected_);
    }
  }
}

namespace {

/// How much higher the fence of an earlier guard may be than the first one of
/// the next guard, as the clock was set back.
constexpr std::uint64_t kSetBackMs = 3'600'000;

} // namespace

// Guards against a target that gets no work for seconds after a restart of its
// guard, whose first fence is lower than what the target has seen.
BOOST_AUTO_TEST_CASE(ANewGuardSoonReachesAFenceThatItsTargetTakes)
{
  GuardWithTarget guard;
  const std::uint64_t former = 1000 + kSetBackMs;
  guard.seenFence_ = former;
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  guard.StartRun();
  BOOST_TEST(guard.starts_ == 1);
  // Higher than calls that the earlier guard may have left in flight.
  BOOST_TEST(guard.polledFence_ > former + 3);
  BOOST_TEST(guard.polledFence_ < former + 2 * kSetBackMs);
  // The climb ends when the target takes the fence.
  const std::uint64_t reached = guard.polledFence_;
  guard.RunFor(gpMillis(2000), gpOrderReply::Accepted);
  BOOST_TEST(guard.polledFence_ == reached);
}

// Guards against fences that run minutes ahead of the clock while the target is
// down, so that the next guard's first fence is refused.
BOOST_AUTO_TEST_CASE(TheFenceDoesNotGrowWithThePollsOfAnUnreachableTarget)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  const std::uint64_t before = guard.polledFence_;
  guard.RunFor(gpMillis(10000), gpOrderReply::NotSent);
  BOOST_TEST(guard.polledFence_ > before);
  BOOST_TEST(guard.polledFence_ <= before + 2);
}

// Guards against late calls from before a time in which the target was
// unreachable: each such time needs a higher fence, or the next incarnation
// carries them out.
BOOST_AUTO_TEST_CASE(EachTimeThatATargetIsUnreachableRaisesTheFence)
{
  GuardWithTarget guard;
  for (int times = 0; times < 3; ++times) {
    guard.RunFor(gpMillis(300), gpOrderReply::Accepted);
    const std::uint64_t before = guard.polledFence_;
    guard.RunFor(gpMillis(300), gpOrderReply::NotSent);
    BOOST_TEST(guard.polledFence_ > before);
  }
}

// Guards against a target that is flooded with polls, as it takes no fence.
BOOST_AUTO_TEST_CASE(ATargetThatTakesNoFenceIsPolledAtALimitedRate)
{
  constexpr int kFastPolls = 60;
  GuardWithTarget guard;
  guard.RunFor(gpMillis(2000), gpOrderReply::Fence);
  BOOST_TEST(guard.polls_ <= kFastPolls + 2 * kMostCallsASecond);
}

namespace {

const gpLinkId kOtherLink(2);
const gpRunId kOtherRun{ "other.0.0.1", 2 };
const gpRunId kNextRun{ "next.0.0.1", 3 };

/// A guard with a run of each of two entries at a target that answers polls and
/// starts, but no stops.
class GuardWithoutStops : public GuardWithTarget
{
public:
  GuardWithoutStops()
  {
    Link(kOtherLink, gpIncarnation(8), "entry:2");
    RunFor(gpMillis(20), gpOrderReply::Accepted);
    StartRun();
    Order(kOtherLink, kOtherRun);
    running_ = { kRun, kOtherRun };
    RunFor(gpMillis(20), gpOrderReply::Accepted);
    stopReply_ = gpOrderReply::Silent;
  }

  void Cancel() { Feed(gpMessageReceived{ kLink, gpRunCancel{ { kRun } } }); }
  void LoseLink() { Feed(gpLinkLost{ .link_ = kLink }); }
  /// Counts the renewals and starts of the next time.
  void RunAndCount(gpMillis aTime)
  {
    renewals_ = 0;
    starts_ = 0;
    RunFor(aTime, gpOrderReply::Accepted);
    Order(kOtherLink, kNextRun);
  }
};

} // namespace

// Guards against a second run of a task at one time: the guard renewed the
// lease of a run whose stops got no answer, and the job was sent again.
BOOST_AUTO_TEST_CASE(ARunWhoseStopsGetNoAnswerEndsBeforeAResubmission)
{
  GuardWithoutStops guard;
  guard.Cancel();
  guard.RunFor(kShortestResend - kLease - kLeaseSlack, gpOrderReply::Accepted);
  guard.RunAndCount(kLease);
  BOOST_TEST(guard.renewals_ == 0);
  // A start would extend the lease too.
  BOOST_TEST(guard.starts_ == 0);
}

// Guards against a target that takes no work for good after a stop without an
// answer.
BOOST_AUTO_TEST_CASE(ATargetTakesWorkAgainWhenItsLeaseHasEndedTheRun)
{
  GuardWithoutStops guard;
  guard.Cancel();
  guard.RunFor(gpMillis(500), gpOrderReply::Accepted);
  guard.running_ = {};
  guard.RunFor(gpMillis(500), gpOrderReply::Accepted);
  BOOST_TEST(guard.reports_ == 2);
  guard.RunAndCount(gpMillis(100));
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against a task that its entry places elsewhere kLinkLossBound after
// the link was lost, while its former run is at work.
BOOST_AUTO_TEST_CASE(RunsOfALostLinkAreNotRenewedUntilTheirStopsAreAnswered)
{
  GuardWithoutStops guard;
  guard.LoseLink();
  guard.RunAndCount(gpMillis(200));
  BOOST_TEST(guard.renewals_ == 0);
  BOOST_TEST(guard.starts_ == 0);
  guard.stopReply_.reset();
  guard.running_ = { kOtherRun };
  guard.RunFor(gpMillis(50), gpOrderReply::Accepted);
  guard.RunAndCount(gpMillis(100));
  BOOST_TEST(guard.renewals_ > 0);
  BOOST_TEST(guard.starts_ == 1);
}

// Guards against a run whose stop was under way when its link was lost: the
// time of the first stop doesn't count then.
BOOST_AUTO_TEST_CASE(ALostLinkHurriesTheStopsThatAreUnderWay)
{
  GuardWithoutStops guard;
  guard.Cancel();
  guard.RunFor(gpMillis(50), gpOrderReply::Accepted);
  guard.LoseLink();
  guard.RunAndCount(gpMillis(200));
  BOOST_TEST(guard.renewals_ == 0);
}

// Guards against innocent runs that end as a few stops got no answer.
BOOST_AUTO_TEST_CASE(AFewStopsWithoutAnAnswerDoNotEndOtherRuns)
{
  GuardWithoutStops guard;
  guard.Cancel();
  guard.RunAndCount(gpMillis(300));
  BOOST_TEST(guard.renewals_ > 0);
  BOOST_TEST(guard.starts_ == 1);
}

namespace {

constexpr std::size_t kManyRuns = 1000;

} // namespace

// Guards against starts that time out, and so count as failures of the target,
// because they wait for a connection to it.
BOOST_AUTO_TEST_CASE(FewStartsAreInFlightAtATime)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.running_ = guard.OrderMany(kManyRuns);
  BOOST_TEST(guard.CountInFlight<gpStartRun>() == gpStartQueue::kMostInFlight);
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  BOOST_TEST(guard.starts_ == static_cast<int>(kManyRuns));
  BOOST_TEST(guard.reports_ == 0);
}

BOOST_AUTO_TEST_CASE(ARunThatIsStoppedBeforeItsStartWasSentIsNeverStarted)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  const std::vector<gpRunId> runs = guard.OrderMany(kManyRuns);
  guard.Feed(gpMessageReceived{ kLink, gpRunCancel{ runs } });
  guard.RunFor(gpMillis(500), gpOrderReply::Accepted);
  BOOST_TEST(guard.starts_ == static_cast<int>(gpStartQueue::kMostInFlight));
  BOOST_TEST(guard.reports_ == static_cast<int>(kManyRuns));
}

BOOST_AUTO_TEST_CASE(ALeavingTargetGetsNoStartThatStillWaits)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.OrderMany(kManyRuns);
  guard.Feed(gpHeartbeatReceived{ MakeTarget(2, true) });
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  BOOST_TEST(guard.starts_ == static_cast<int>(gpStartQueue::kMostInFlight));
}

// Guards against a guard that repeats hundreds of stops at once without end,
// as they all time out while they wait for a connection to the target.
BOOST_AUTO_TEST_CASE(FewStopsAreInFlightAtATime)
{
  GuardWithTarget guard;
  guard.RunFor(gpMillis(20), gpOrderReply::Accepted);
  guard.running_ = guard.OrderMany(kManyRuns);
  guard.RunFor(gpMillis(200), gpOrderReply::Accepted);
  guard.Feed(gpMessageReceived{ kLink, gpRunCancel{ guard.running_ } });
  BOOST_TEST(guard.CountInFlight<gpStopRun>() == gpPendingStops::kMostInFlight);
  guard.RunFor(gpMillis(20), gpOrderReply::Silent);
  BOOST_TEST(guard.CountInFlight<gpStopRun>() <= gpPendingStops::kMostInFlight);
  guard.running_.clear();
  guard.RunFor(gpMillis(300), gpOrderReply::Accepted);
  BOOST_TEST(guard.reports_ == static_cast<int>(kManyRuns));
}

#define BOOST_TEST_MODULE gpEntryDecisions
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

#include "gpDispatchQueue.h"
#include "gpEntryReducer.h"
#include "gpReplicaRanking.h"
#include "gpRetryBudget.h"
#include "gpTargetHealth.h"

namespace {

const gpServiceName kService("service");
const gpTeamName kTeam("team");
const gpTime kStart{ gpMillis(1000) };
const gpLinkId kLink(7);

gpTaskId
MakeTask(std::uint64_t aJob)
{
  return { { gpIncarnation(1), aJob }, gpTaskIndex(0) };
}

gpRoster
MakeRoster(std::uint64_t aMembers)
{
  gpRoster roster;
  roster.epoch_ = gpRosterEpoch(aMembers);
  for (std::uint64_t number = 1; number <= aMembers; ++number) {
    gpMember member;
    member.guard_ = gpIncarnation(number);
    member.address_ = gpAddress("guard-" + std::to_string(number));
    member.service_ = kService;
    member.dataCentre_ = gpDataCentreName("dc" + std::to_string(number % 3));
    member.rack_ = gpRackName("rack" + std::to_string(number % 4));
    roster.members_.emplace(member.guard_, member);
  }
  return roster;
}

gpVersionedConfiguration
MakeConfiguration()
{
  gpServiceConfig service;
  service.name_ = kService;
  gpTeamConfig team;
  team.name_ = kTeam;
  team.services_ = { kService };
  gpVersionedConfiguration versioned;
  versioned.configuration_.services_.emplace(kService, service);
  versioned.configuration_.teams_.emplace(kTeam, team);
  return versioned;
}

/** An entry with a link to one guard, whose target has one slot. */
struct EntryFixture
{
  EntryFixture()
    : entry_(gpPeer{}, gpTimings{}, 1)
  {
    const gpRoster roster = MakeRoster(1);
    const gpMember& member = roster.members_.begin()->second;
    gpPeer peer{ gpRole::Guard, "guard", member.guard_, member.address_ };
    HandleInput(gpConfigurationChanged{ MakeConfiguration() }, kStart);
    HandleInput(gpRosterChanged{ roster, true }, kStart);
    HandleInput(gpLinkOpened{ kLink, peer, member.address_ }, kStart);
  }

  template<typename Input>
  std::size_t HandleInput(Input aInput, gpTime aNow)
  {
    std::size_t starts = 0;
    for (const gpEffect& effect : entry_.Reduce({ aNow, aInput })) {
      const auto* send = std::get_if<gpSend>(&effect);
      const bool isStart =
        send != nullptr && std::holds_alternative<gpStart>(send->message_);
      starts += isStart ? 1 : 0;
    }
    return starts;
  }

  std::size_t Submit(gpMillis aDeadline)
  {
    gpJobSubmitted event;
    event.request_ = gpRequestId(1);
    event.submission_.service_ = kService;
    event.submission_.team_ = kTeam;
    event.submission_.deadline_ = aDeadline;
    event.submission_.tasks_.resize(1);
    return HandleInput(event, kStart);
  }

  std::size_t Report(std::uint32_t aFree, gpTime aNow)
  {
    return HandleInput(
      gpMessageReceived{ kLink, gpSlotReport{ 1, aFree, false } }, aNow);
  }

  gpEntryReducer entry_;
};

} // namespace

BOOST_AUTO_TEST_CASE(TaskIsSentWhenASlotIsFree)
{
  EntryFixture entry;
  entry.Report(0, kStart);
  BOOST_TEST(entry.Submit(gpMillis(5000)) == 0U);
  BOOST_TEST(entry.Report(1, kStart + gpMillis(10)) == 1U);
}

BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheDeadline)
{
  EntryFixture entry;
  entry.Report(0, kStart);
  BOOST_TEST(entry.Submit(gpMillis(5000)) == 0U);
  // The process was paused past the deadline, and handles the report before its
  // timer.
  BOOST_TEST(entry.Report(1, kStart + gpMillis(5000)) == 0U);
}

BOOST_AUTO_TEST_CASE(TeamsShareByWeight)
{
  gpDispatchQueue queue;
  for (std::uint64_t job = 0; job < 100; ++job) {
    queue.Push(gpTeamName("heavy"), 3, kStart, MakeTask(job));
    queue.Push(gpTeamName("light"), 1, kStart, MakeTask(1000 + job));
  }
  std::size_t heavy = 0;
  for (int taken = 0; taken < 40; ++taken) {
    heavy += queue.Peek()->job_.sequence_ < 1000 ? 1 : 0;
    queue.Pop();
  }
  BOOST_TEST(heavy == 30U);
}

BOOST_AUTO_TEST_CASE(TeamThatWasIdleGetsNoCredit)
{
  gpDispatchQueue queue;
  for (std::uint64_t job = 0; job < 100; ++job) {
    queue.Push(gpTeamName("busy"), 1, kStart, MakeTask(job));
  }
  for (int taken = 0; taken < 50; ++taken) {
    queue.Pop();
  }
  for (std::uint64_t job = 0; job < 50; ++job) {
    queue.Push(gpTeamName("late"), 1, kStart, MakeTask(1000 + job));
  }
  std::size_t late = 0;
  for (int taken = 0; taken < 20; ++taken) {
    late += queue.Peek()->job_.sequence_ >= 1000 ? 1 : 0;
    queue.Pop();
  }
  BOOST_TEST(late <= 11U);
  BOOST_TEST(late >= 9U);
}

BOOST_AUTO_TEST_CASE(SmallestRankOfATeamGoesFirst)
{
  gpDispatchQueue queue;
  queue.Push(kTeam, 1, kStart + gpMillis(5), MakeTask(1));
  queue.Push(kTeam, 1, kStart, MakeTask(2));
  BOOST_TEST(queue.Peek()->job_.sequence_ == 2U);
  queue.Remove(MakeTask(2));
  BOOST_TEST(queue.Peek()->job_.sequence_ == 1U);
}

BOOST_AUTO_TEST_CASE(TargetThatFailsIsEjectedAndProbed)
{
  gpEjectionSettings settings;
  gpTargetHealth health;
  for (std::uint32_t failure = 1; failure < settings.failures_; ++failure) {
    BOOST_TEST(!health.NoteFailure(settings, true, kStart));
  }
  BOOST_TEST(health.NoteFailure(settings, true, kStart));
  BOOST_TEST(!health.MayStart(kStart));
  const gpTime probeAt = kStart + settings.probeAfter_;
  BOOST_TEST(health.MayStart(probeAt));
  BOOST_TEST(health.NoteStart());
  BOOST_TEST(!health.MayStart(probeAt));
  health.NoteFailure(settings, true, probeAt);
  BOOST_TEST(!health.MayStart(probeAt + settings.probeAfter_));
  BOOST_TEST(health.MayStart(probeAt + 2 * settings.probeAfter_));
  BOOST_TEST(health.NoteStart());
  BOOST_TEST(health.NoteSuccess());
  BOOST_TEST(!health.IsEjected());
}

BOOST_AUTO_TEST_CASE(FailingTargetIsNotEjectedBeyondTheLimit)
{
  gpEjectionSettings settings;
  gpTargetHealth health;
  for (std::uint32_t failure = 0; failure < 10; ++failure) {
    BOOST_TEST(!health.NoteFailure(settings, false, kStart));
  }
  BOOST_TEST(health.MayStart(kStart));
}

BOOST_AUTO_TEST_CASE(RetriesAreLimitedToAShareOfFirstAttempts)
{
  gpRetryBudget budget;
  while (budget.TakeRetry()) {
  }
  for (int first = 0; first < 9; ++first) {
    budget.NoteFirst(10);
  }
  BOOST_TEST(!budget.TakeRetry());
  budget.NoteFirst(10);
  BOOST_TEST(budget.TakeRetry());
}

BOOST_AUTO_TEST_CASE(ReplicasAreInDifferentDataCentres)
{
  const gpRoster roster = MakeRoster(12);
  for (std::uint32_t number = 0; number < kClaimPartitions; ++number) {
    std::set<gpDataCentreName> centres;
    for (const gpIncarnation guard :
         gpReplicasOf(roster, kService, gpPartition(number))) {
      centres.insert(roster.members_.at(guard).dataCentre_);
    }
    BOOST_TEST(centres.size() == kClaimReplicas);
  }
}

BOOST_AUTO_TEST_CASE(OneMoreMemberChangesFewReplicas)
{
  const gpRoster before = MakeRoster(12);
  const gpRoster after = MakeRoster(13);
  std::size_t changed = 0;
  for (std::uint32_t number = 0; number < kClaimPartitions; ++number) {
    const auto old = gpReplicasOf(before, kService, gpPartition(number));
    for (const gpIncarnation guard :
         gpReplicasOf(after, kService, gpPartition(number))) {
      changed += std::ranges::find(old, guard) == old.end() ? 1 : 0;
    }
  }
  // A thirteenth of all replicas are expected to move, and a few more to keep
  // them spread over data centres and racks.
  BOOST_TEST(changed > 0U);
  BOOST_TEST(changed <= kClaimPartitions);
}

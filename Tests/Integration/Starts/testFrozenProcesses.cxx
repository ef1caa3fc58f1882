#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

/// A short silence time-out, but long enough for the time in which the proxies
/// hold the links.
gpTestClusterOptions
FrozenProcessesOptions()
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.timings_.linkSilence_ = gpMillis(1000);
  return options;
}

struct FrozenProcessesFixture : gpStartsFixture
{
  FrozenProcessesFixture()
    : gpStartsFixture(FrozenProcessesOptions())
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(FrozenProcesses)

// The entry is frozen before any task has started, and its start messages are
// lost.
BOOST_FIXTURE_TEST_CASE(EntryIsFrozenBetweenItsClaimAndTheFirstStart,
                        FrozenProcessesFixture)
{
  const gpTestJob job = MakeJob("asleep-claimed", 3, gpMillis(50));
  gpTestCall first = SubmitAndHoldStarts(job);
  cluster_.Entry(0).Freeze();
  SetLinks("cut");
  // The claimant's kernel accepts the connection, but the frozen process
  // doesn't answer.
  WaitUntil("the claimant to be unreachable", [&] {
    const gpTestAnswer answer = SubmitAndRecord(1, job);
    BOOST_TEST(answer.outcome_ == "unknown");
    return answer.outcome_ != "unknown" || answer.code_ == "claim_unreachable";
  });
  BOOST_TEST(TotalStarts() == 0U);
  cluster_.Entry(0).Thaw();
  WaitForAnswer(job, first);
  SubmitUntilFinal(1, job);
  BOOST_TEST(FindViolations() == "");
}

// The starts reach the guards while the entry is frozen.
BOOST_FIXTURE_TEST_CASE(EntryIsFrozenDuringDispatch, FrozenProcessesFixture)
{
  const gpTestJob job = MakeJob("asleep-dispatch", 3, gpMillis(50));
  gpTestCall first = SubmitAndHoldStarts(job);
  cluster_.Entry(0).Freeze();
  SetLinks("pass");
  WaitAtGuards("task_ended", job.tasks_.size());
  BOOST_TEST(SubmitAndRecord(1, job).outcome_ == "unknown");
  cluster_.Entry(0).Thaw();
  WaitForAnswer(job, first);
  SubmitUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(EntryIsFrozenPastTheDeadline, FrozenProcessesFixture)
{
  gpTestJob job = MakeJob("asleep-deadline", 20, gpMillis(100));
  job.deadline_ = gpMillis(400);
  gpTestCall first = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("task_sent");
  cluster_.Entry(0).Freeze();
  // A later submission's deadline is later than that of the first, so the first
  // one has passed too.
  WaitUntil("the deadline", [&] {
    return SubmitAndRecord(1, job).code_ == "deadline_exceeded";
  });
  cluster_.Entry(0).Thaw();
  BOOST_TEST(WaitForAnswer(job, first).outcome_ == "failed");
  SubmitUntilFinal(1, job);
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(GuardIsFrozenWithATaskInFlight, FrozenProcessesFixture)
{
  const gpTestJob job = MakeJob("guard-asleep", 1, gpMillis(300));
  gpTestCall first = cluster_.Submit(0, job);
  const std::size_t guard = FindGuardWith("task_admitted");
  cluster_.Guard(guard).Freeze();
  const gpTestAnswer answer = WaitForAnswer(job, first);
  BOOST_TEST(answer.outcome_ == "failed");
  BOOST_TEST(answer.code_ == "task_in_doubt");
  BOOST_TEST(SubmitAndRecord(1, job).outcome_ == "failed");
  cluster_.Guard(guard).Thaw();
  cluster_.Guard(guard).WaitForEvent("task_ended");
  BOOST_TEST(SubmitUntilFinal(1, job).outcome_ == "failed");
  BOOST_TEST(FindViolations() == "");
}

// Whichever one or two replicas are frozen, the others either know the claimant
// or are too few to decide a claim.
BOOST_FIXTURE_TEST_CASE(ReplicasOfTheClaimAreFrozen, FrozenProcessesFixture)
{
  for (std::size_t running = 0; running < kGuards; ++running) {
    const gpTestJob job =
      MakeJob("holder-awake-" + std::to_string(running), 2, gpMillis(10));
    SubmitUntilFinal(0, job);
    gpTestProcess& one = cluster_.Guard((running + 1) % kGuards);
    gpTestProcess& other = cluster_.Guard((running + 2) % kGuards);
    one.Freeze();
    SubmitAndRecord(1, job);
    other.Freeze();
    SubmitAndRecord(1, job);
    one.Thaw();
    SubmitAndRecord(1, job);
    other.Thaw();
    BOOST_TEST(SubmitUntilFinal(1, job).outcome_ == "complete");
  }
  BOOST_TEST(FindViolations() == "");
}

// The claimant is frozen as well, so no running process has its answer.
BOOST_FIXTURE_TEST_CASE(EntryAndGuardsAreFrozenAfterTheClaim,
                        FrozenProcessesFixture)
{
  const gpTestJob job = MakeJob("all-asleep", 3, gpMillis(20));
  gpTestCall first = SubmitAndHoldStarts(job);
  cluster_.Entry(0).Freeze();
  SetLinks("pass");
  WaitAtGuards("task_ended", job.tasks_.size());
  for (std::size_t running = 0; running < kGuards; ++running) {
    cluster_.Guard((running + 1) % kGuards).Freeze();
    cluster_.Guard((running + 2) % kGuards).Freeze();
    BOOST_TEST(SubmitAndRecord(1, job).outcome_ == "unknown");
    cluster_.Guard((running + 1) % kGuards).Thaw();
    cluster_.Guard((running + 2) % kGuards).Thaw();
  }
  cluster_.Entry(0).Thaw();
  WaitForAnswer(job, first);
  SubmitUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_AUTO_TEST_SUITE_END()

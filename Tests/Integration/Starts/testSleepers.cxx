#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

/// Silence that ends soon, but outlasts the time in which proxies hold links.
gpTestClusterOptions
SleeperOptions()
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.timings_.linkSilence_ = gpMillis(1000);
  return options;
}

struct SleeperFixture : gpStartsFixture
{
  SleeperFixture()
    : gpStartsFixture(SleeperOptions())
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Sleepers)

// Nothing had been started when the entry fell asleep; the bytes are lost.
BOOST_FIXTURE_TEST_CASE(EntryStopsBetweenItsClaimAndTheFirstStart,
                        SleeperFixture)
{
  const gpTestJob job = MakeJob("asleep-claimed", 3, gpMillis(50));
  gpTestCall first = SubmitAndHoldStarts(job);
  cluster_.Entry(0).Freeze();
  SetLinks("cut");
  // The claimant's machine takes the connection and nobody answers.
  WaitUntil("news of the claimant", [&] {
    const gpTestAnswer answer = Ask(1, job);
    BOOST_TEST(answer.outcome_ == "unknown");
    return answer.outcome_ != "unknown" || answer.code_ == "claim_unreachable";
  });
  BOOST_TEST(TotalStarts() == 0U);
  cluster_.Entry(0).Thaw();
  Await(job, first);
  AskUntilFinal(1, job);
  BOOST_TEST(Judge() == "");
}

// The starts reach the guards while the entry sleeps.
BOOST_FIXTURE_TEST_CASE(EntryStopsMidDispatch, SleeperFixture)
{
  const gpTestJob job = MakeJob("asleep-dispatch", 3, gpMillis(50));
  gpTestCall first = SubmitAndHoldStarts(job);
  cluster_.Entry(0).Freeze();
  SetLinks("pass");
  WaitAtGuards("task_ended", job.tasks_.size());
  BOOST_TEST(Ask(1, job).outcome_ == "unknown");
  cluster_.Entry(0).Thaw();
  Await(job, first);
  AskUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(EntryStopsPastTheDeadline, SleeperFixture)
{
  gpTestJob job = MakeJob("asleep-deadline", 20, gpMillis(100));
  job.deadline_ = gpMillis(400);
  gpTestCall first = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("task_sent");
  cluster_.Entry(0).Freeze();
  // The deadline of a later submission comes after that of the first.
  WaitUntil("the deadline",
            [&] { return Ask(1, job).code_ == "deadline_exceeded"; });
  cluster_.Entry(0).Thaw();
  BOOST_TEST(Await(job, first).outcome_ == "failed");
  AskUntilFinal(1, job);
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(GuardStopsWithATaskInFlight, SleeperFixture)
{
  const gpTestJob job = MakeJob("guard-asleep", 1, gpMillis(300));
  gpTestCall first = cluster_.Submit(0, job);
  const std::size_t guard = FindGuardWith("task_admitted");
  cluster_.Guard(guard).Freeze();
  const gpTestAnswer answer = Await(job, first);
  BOOST_TEST(answer.outcome_ == "failed");
  BOOST_TEST(answer.code_ == "task_in_doubt");
  BOOST_TEST(Ask(1, job).outcome_ == "failed");
  cluster_.Guard(guard).Thaw();
  cluster_.Guard(guard).WaitForEvent("task_ended");
  BOOST_TEST(AskUntilFinal(1, job).outcome_ == "failed");
  BOOST_TEST(Judge() == "");
}

// Whichever one or two holders sleep, the others know the claimant or are too
// few to say anything.
BOOST_FIXTURE_TEST_CASE(GuardsThatHoldTheClaimStop, SleeperFixture)
{
  for (std::size_t awake = 0; awake < kGuards; ++awake) {
    const gpTestJob job =
      MakeJob("holder-awake-" + std::to_string(awake), 2, gpMillis(10));
    AskUntilFinal(0, job);
    gpTestProcess& one = cluster_.Guard((awake + 1) % kGuards);
    gpTestProcess& other = cluster_.Guard((awake + 2) % kGuards);
    one.Freeze();
    Ask(1, job);
    other.Freeze();
    Ask(1, job);
    one.Thaw();
    Ask(1, job);
    other.Thaw();
    BOOST_TEST(AskUntilFinal(1, job).outcome_ == "complete");
  }
  BOOST_TEST(Judge() == "");
}

// The claimant sleeps as well, so that its answer isn't known to anybody.
BOOST_FIXTURE_TEST_CASE(EntryAndGuardsStopAfterTheClaim, SleeperFixture)
{
  const gpTestJob job = MakeJob("all-asleep", 3, gpMillis(20));
  gpTestCall first = SubmitAndHoldStarts(job);
  cluster_.Entry(0).Freeze();
  SetLinks("pass");
  WaitAtGuards("task_ended", job.tasks_.size());
  for (std::size_t awake = 0; awake < kGuards; ++awake) {
    cluster_.Guard((awake + 1) % kGuards).Freeze();
    cluster_.Guard((awake + 2) % kGuards).Freeze();
    BOOST_TEST(Ask(1, job).outcome_ == "unknown");
    cluster_.Guard((awake + 1) % kGuards).Thaw();
    cluster_.Guard((awake + 2) % kGuards).Thaw();
  }
  cluster_.Entry(0).Thaw();
  Await(job, first);
  AskUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_AUTO_TEST_SUITE_END()

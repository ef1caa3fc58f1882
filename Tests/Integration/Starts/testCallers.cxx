#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

/// A job whose tasks end in another order than they start, and whose results
/// contain the caller's name.
gpTestJob
MakeCallersJob(const std::string& aCaller)
{
  constexpr int kTasks = 8;
  constexpr gpMillis kStep(10);
  gpTestJob job;
  job.key_ = aCaller;
  for (int i = 0; i < kTasks; ++i) {
    job.tasks_.push_back(gpMakeTestTask(
      kStep * (kTasks - i), "for " + aCaller + ", " + std::to_string(i)));
  }
  return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Callers)

BOOST_FIXTURE_TEST_CASE(EachCallerGetsItsOwnCompleteAnswer, gpStartsFixture)
{
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Control(cluster_.Proxy(i),
                     R"({"mode":"delay","direction":"to_client","delay_ms":)" +
                       std::to_string(20 * i) + "}");
  }
  const std::vector<gpTestJob> jobs = { MakeCallersJob("a"),
                                        MakeCallersJob("b"),
                                        MakeCallersJob("c"),
                                        MakeCallersJob("d") };
  std::vector<gpTestCall> calls;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    calls.push_back(cluster_.Submit(i % 2, jobs[i]));
  }
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    BOOST_TEST(WaitForAnswer(jobs[i], calls[i]).outcome_ == "complete");
  }
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(AnotherBodyOfTheSameKeyIsRefused, gpStartsFixture)
{
  const gpTestJob job = MakeJob("reused", 1, gpMillis(200));
  const gpTestJob other = MakeJob("reused", 3, gpMillis(100));
  gpTestCall first = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("claim_won");
  for (const std::size_t entry : { 0, 1 }) {
    const gpTestAnswer answer = SubmitAndRecord(entry, other);
    BOOST_TEST(answer.status_ == 422);
    BOOST_TEST(answer.outcome_ == "not_run");
  }
  BOOST_TEST(WaitForAnswer(job, first).outcome_ == "complete");
  for (const std::size_t entry : { 0, 1 }) {
    BOOST_TEST(SubmitAndRecord(entry, other).status_ == 422);
  }
  BOOST_TEST(TotalStarts() == 1U);
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(ACallerThatDisconnectedGetsTheCompleteAnswerOnRetry,
                        gpStartsFixture)
{
  const gpTestJob job = MakeJob("back", 6, gpMillis(300));
  gpTestCall lost = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("task_sent");
  lost.cancel_();
  cluster_.Entry(0).WaitForEvent("caller_gone");
  gpTestCall here = cluster_.Submit(0, job);
  gpTestCall elsewhere = cluster_.Submit(1, job);
  BOOST_TEST(WaitForAnswer(job, here).outcome_ == "complete");
  BOOST_TEST(WaitForAnswer(job, elsewhere).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(ATaskThatFailedIsNeverRepeated, gpStartsFixture)
{
  const gpTestJob job = MakeJob("error", 4, gpMillis(20));
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Control(cluster_.Target(i), R"({"fail_all":true})");
  }
  const gpTestAnswer answer = SubmitAndRecord(0, job);
  BOOST_TEST(answer.outcome_ == "failed");
  BOOST_TEST(answer.code_ == "task_failed");
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Control(cluster_.Target(i), R"({"fail_all":false})");
  }
  BOOST_TEST(SubmitAndRecord(0, job).outcome_ == "failed");
  BOOST_TEST(SubmitAndRecord(1, job).outcome_ == "failed");
  BOOST_TEST(FindViolations() == "");
}

// The task may have run although the target's connection broke after the start,
// so it must not be started again.
BOOST_FIXTURE_TEST_CASE(ABrokenCallIsNeverRepeated, gpStartsFixture)
{
  const gpTestJob job = MakeJob("broken", 1, gpMillis(20));
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Control(cluster_.Target(i), R"({"crash_next":true})");
  }
  BOOST_TEST(SubmitAndRecord(0, job).outcome_ == "failed");
  BOOST_TEST(SubmitAndRecord(1, job).outcome_ == "failed");
  BOOST_TEST(TotalStarts() == 1U);
  BOOST_TEST(FindViolations() == "");
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"
#include "gpOperationsLoad.h"

using boost::unit_test::timeout;

namespace {

constexpr gpMillis kRunTime(300);

std::string
NameOf(std::size_t aIndex)
{
  return "order-" + std::to_string(aIndex);
}

gpTestJob
KeyedJob(const std::string& aKey, std::size_t aTasks)
{
  gpTestJob job = gpMakeNamedJob(aKey, aTasks, kRunTime);
  job.key_ = aKey;
  for (gpTestTask& task : job.tasks_) {
    task.idempotent_ = false;
  }
  return job;
}

void
CheckShuttingDown(const gpTestAnswer& aAnswer)
{
  BOOST_TEST(aAnswer.status_ == 503);
  BOOST_TEST(aAnswer.code_ == "shutting_down");
  BOOST_TEST(aAnswer.outcome_ == "not_run");
  BOOST_TEST(aAnswer.retryAfterMs_.has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Shutdown)

BOOST_AUTO_TEST_CASE(
  InFlightJobsCompleteAndNewOnesAreNotRunWhenAnEntryTerminates,
  *timeout(kCaseSeconds))
{
  constexpr std::size_t kJobs = 12;
  constexpr std::size_t kTasks = 4;
  gpTestCluster cluster({ .slots_ = 4, .timings_ = gpQuickTimings() });
  cluster.Apply(gpTestConfiguration({}));
  cluster.WaitUntilReady();
  std::vector<gpTestCall> calls;
  for (std::size_t i = 0; i < kJobs; ++i) {
    const bool keyed = i % 2 == 0;
    calls.push_back(
      cluster.Submit(0,
                     keyed ? KeyedJob(NameOf(i), kTasks)
                           : gpMakeNamedJob(NameOf(i), kTasks, kRunTime)));
  }
  gpTestProcess& entry = cluster.Entry(0);
  gpWaitUntil("all jobs run", [&] {
    return entry.CountEvents("job_admitted") == kJobs &&
           entry.CountEvents("task_sent") > 0;
  });
  entry.Terminate();
  entry.WaitForEvent("process_stopping");

  CheckShuttingDown(
    cluster.SubmitAndWait(0, gpMakeNamedJob("late", 1, kRunTime)));
  CheckShuttingDown(cluster.SubmitAndWait(0, KeyedJob("late-order", 1)));
  BOOST_TEST(entry.CountEvents("process_stopped") == 0U);
  BOOST_TEST(cluster.StartsOf("late-order", 0) == 0U);
  gpTestCall attached = cluster.Submit(1, KeyedJob(NameOf(0), kTasks));
  BOOST_TEST(gpIsComplete(
    cluster.SubmitAndWait(1, KeyedJob("late-order", 1)), "late-order", 1));

  for (std::size_t i = 0; i < kJobs; ++i) {
    BOOST_TEST(
      gpIsComplete(gpReadAnswer(calls[i].reply_.get()), NameOf(i), kTasks));
  }
  BOOST_TEST(
    gpIsComplete(gpReadAnswer(attached.reply_.get()), NameOf(0), kTasks));
  BOOST_TEST(entry.WaitForExit().value_or(-1) == 0);
  BOOST_TEST(cluster.TotalStarts() == kJobs * kTasks + 1);
  BOOST_TEST(cluster.MaxStartsOfAnyTask() == 1U);
}

BOOST_AUTO_TEST_CASE(InFlightJobsCompleteWhenAGuardTerminatesUnderLoad,
                     *timeout(kCaseSeconds))
{
  constexpr std::size_t kLoadJobs = 40;
  constexpr std::size_t kManyStarts = 100;
  gpTestCluster cluster({ .timings_ = gpQuickTimings() });
  cluster.Apply(gpTestConfiguration({}));
  cluster.WaitUntilReady();
  gpTestCall longCall =
    cluster.Submit(1, gpMakeNamedJob("long", 6, gpMillis(1500)));
  gpOperationsLoad load(cluster, 0, kLoadJobs, gpMillis(100));
  load.RunUntil("target 0 has started tasks",
                [&] { return cluster.StartsAt(0) > 10; });
  cluster.Guard(0).Terminate();
  load.RunUntil("guard 0 has exited",
                [&] { return !cluster.Guard(0).IsRunning(); });
  BOOST_TEST(cluster.Guard(0).WaitForExit().value_or(-1) == 0);
  const std::size_t starts = cluster.StartsAt(0);
  const std::size_t others = cluster.TotalStarts() - starts;
  load.RunUntil("the other targets start more tasks", [&] {
    return cluster.TotalStarts() - starts > others + kManyStarts;
  });
  load.Finish();
  BOOST_TEST(cluster.StartsAt(0) == starts);
  BOOST_TEST(load.GetIncorrectAnswers() == std::vector<std::string>(),
             boost::test_tools::per_element());
  BOOST_TEST(gpIsComplete(gpReadAnswer(longCall.reply_.get()), "long", 6));
  BOOST_TEST(gpNumberIn(cluster.Show(cluster.Target(0)), "cut") == 0U);
  BOOST_TEST(cluster.MaxStartsOfAnyTask() == 1U);
}

BOOST_AUTO_TEST_CASE(NewJobsAreNotRunWhenTheOnlyGuardTerminates,
                     *timeout(kCaseSeconds))
{
  constexpr std::size_t kTasks = 8;
  gpTestCluster cluster(
    { .entries_ = 1, .targets_ = 1, .timings_ = gpQuickTimings() });
  cluster.Apply(gpTestConfiguration({}));
  cluster.WaitUntilReady();
  gpTestCall call =
    cluster.Submit(0, gpMakeNamedJob("running", kTasks, gpMillis(1500)));
  gpWaitUntil("all tasks run", [&] { return cluster.StartsAt(0) == kTasks; });
  cluster.Guard(0).Terminate();
  cluster.Entry(0).WaitForEvent("target_leaving");
  const gpTestAnswer late =
    cluster.SubmitAndWait(0, gpMakeNamedJob("late", 1, kRunTime));
  BOOST_TEST(late.code_ == "no_target");
  BOOST_TEST(late.outcome_ == "not_run");
  BOOST_TEST(late.retryAfterMs_.has_value());
  BOOST_TEST(gpIsComplete(gpReadAnswer(call.reply_.get()), "running", kTasks));
  BOOST_TEST(cluster.Guard(0).WaitForExit().value_or(-1) == 0);
  BOOST_TEST(cluster.TotalStarts() == kTasks);
}

BOOST_AUTO_TEST_SUITE_END()

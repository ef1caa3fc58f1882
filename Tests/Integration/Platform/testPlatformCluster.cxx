#define BOOST_TEST_MODULE gpPlatformCluster
#include <boost/test/unit_test.hpp>

#include <thread>

#include "gpPlatformCluster.h"

namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kCompleted = R"({"state":"completed"})";
constexpr gpMillis kLook{ 20 };

/// Waits until nothing runs at any worker.
void
WaitUntilIdle(gpPlatformCluster& aCluster)
{
  while (aCluster.CountRunning() > 0) {
    std::this_thread::sleep_for(kLook);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(AJobIsServed)
{
  gpPlatformCluster cluster(2, 2);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  const auto reply = cluster.Submit(0, kJob, 6, gpMillis(30)).reply_.get();
  BOOST_TEST(gpStatusOf(reply) == 200);
  BOOST_TEST(gpBodyOf(reply) == kCompleted);
  BOOST_TEST(cluster.CountStarts(kJob) == 6U);
}

BOOST_AUTO_TEST_CASE(AJobWhoseTaskFailsIsFailed)
{
  gpPlatformCluster cluster(1, 2);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  const auto reply =
    cluster.Submit(0, kJob, 1, gpMillis(5), R"(,"fails":true)").reply_.get();
  BOOST_TEST(gpBodyOf(reply) == R"({"state":"failed"})");
  BOOST_TEST(cluster.CountStarts(kJob) == 2U);
}

BOOST_AUTO_TEST_CASE(WithoutAConfigurationNothingRuns)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Entry(0).Address("callers");
  const auto reply = cluster.Submit(0, kJob, 1, gpMillis(5)).reply_.get();
  BOOST_TEST(gpStatusOf(reply) == 503);
  BOOST_TEST(reply.response_->headers_.contains("retry-after"));
  BOOST_TEST(cluster.CountStarts(kJob) == 0U);
}

BOOST_AUTO_TEST_CASE(AStartWithoutAnAnswerIsSettled)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  cluster.Control(cluster.Worker(0), R"({"lose_starts":1})");
  const auto reply = cluster.Submit(0, kJob, 1, gpMillis(1000)).reply_.get();
  BOOST_TEST(gpBodyOf(reply) == kCompleted);
  // The first one ran unanswered, and was stopped before the second.
  BOOST_TEST(cluster.CountStarts(kJob) == 2U);
}

BOOST_AUTO_TEST_CASE(RunsOfACallerThatLeavesAreStopped)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall call = cluster.Submit(0, kJob, 2, gpMillis(60000));
  cluster.Guard(0).WaitForEvent("task_admitted");
  while (cluster.CountRunning() < 2) {
    std::this_thread::sleep_for(kLook);
  }
  call.cancel_();
  WaitUntilIdle(cluster);
  BOOST_TEST(cluster.CountStarts(kJob) == 2U);
}

BOOST_AUTO_TEST_CASE(RunsOfAnEntryThatDiesAreStoppedAndTheJobRunsElsewhere)
{
  gpPlatformCluster cluster(2, 2);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall lost = cluster.Submit(0, kJob, 2, gpMillis(60000));
  while (cluster.CountRunning() < 2) {
    std::this_thread::sleep_for(kLook);
  }
  cluster.Entry(0).Kill();
  WaitUntilIdle(cluster);
  const auto reply = cluster.Submit(1, kJob, 2, gpMillis(20)).reply_.get();
  BOOST_TEST(gpBodyOf(reply) == kCompleted);
}

BOOST_AUTO_TEST_CASE(ARestartedGuardStopsWhatItsFormerSelfStarted)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall lost = cluster.Submit(0, kJob, 2, gpMillis(60000));
  while (cluster.CountRunning() < 2) {
    std::this_thread::sleep_for(kLook);
  }
  cluster.RestartGuard(0);
  WaitUntilIdle(cluster);
  BOOST_TEST(gpStatusOf(lost.reply_.get()) == 504);
}

BOOST_AUTO_TEST_CASE(AGracefulShutdownAnswersWhatItTookIn)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall call = cluster.Submit(0, kJob, 2, gpMillis(400));
  cluster.Entry(0).WaitForEvent("task_sent",
                                { { "key", kJob + std::string(".0.0.0") } });
  cluster.Entry(0).Terminate();
  BOOST_TEST(gpBodyOf(call.reply_.get()) == kCompleted);
  BOOST_TEST(cluster.Entry(0).WaitForExit().value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(ADrainingTargetGetsNothingNew)
{
  gpPlatformCluster cluster(1, 2);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  cluster.Control(cluster.Worker(0), R"({"draining":true})");
  cluster.Guard(0).WaitForEvent("target_leaving");
  for (int job = 0; job < 5; ++job) {
    const std::string id = "5c0e7a21d94b36e" + std::to_string(job);
    const auto reply = cluster.Submit(0, id, 4, gpMillis(10)).reply_.get();
    BOOST_TEST(gpBodyOf(reply) == kCompleted);
  }
  BOOST_TEST(cluster.Guard(0).CountEvents("task_refused") <= 1U);
}

BOOST_AUTO_TEST_CASE(AnEntryThatStartsWithoutTheStoreLearnsFromItsPeers)
{
  gpPlatformCluster cluster(2, 1);
  cluster.Configure(7);
  cluster.WaitUntilReady();
  cluster.Control(cluster.Store(), R"({"mode":"refuse"})");
  cluster.Entry(1).Kill();
  cluster.Entry(1).Start();
  cluster.Entry(1).WaitForEvent("configuration_in_force",
                                { { "number", "7" } });
}

BOOST_AUTO_TEST_CASE(AChangeIsInForceAfterTheStoreComesBack)
{
  gpPlatformCluster cluster(2, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  cluster.Control(cluster.Store(), R"({"mode":"hang"})");
  cluster.Entry(0).WaitForEvent("log_unavailable");
  cluster.Configure(2);
  cluster.Control(cluster.Store(), R"({"trim":"keyed.op"})");
  cluster.Control(cluster.Store(), R"({"mode":"serve"})");
  cluster.Entry(0).WaitForEvent("configuration_in_force",
                                { { "number", "2" } });
  cluster.Entry(1).WaitForEvent("configuration_in_force",
                                { { "number", "2" } });
}

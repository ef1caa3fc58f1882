#define BOOST_TEST_MODULE gpPlatformCluster
#include <boost/test/unit_test.hpp>

#include <thread>

#include "gpPlatformCluster.h"

namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kCompleted = R"({"state":"completed"})";
constexpr gpMillis kPollPeriod{ 20 };

/// Waits until no worker runs a task.
void
WaitUntilIdle(gpPlatformCluster& aCluster)
{
  while (aCluster.CountRunning() > 0) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

/// Waits until the process reports this configuration version.
void
WaitForVersion(gpPlatformCluster& aCluster,
               gpTestProcess& aProcess,
               const std::string& aVersion)
{
  const std::string field = R"("configuration_version":)" + aVersion + ",";
  while (gpBodyOf(aCluster.Http().Get(aProcess.Address("status"), "/v1/status"))
           .find(field) == std::string::npos) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

/// Number of configurations that the entry has sent to other processes.
std::uint64_t
CountConfigurationsSent(gpPlatformCluster& aCluster, std::size_t aEntry)
{
  const std::string series =
    R"(gypsumpoint_messages_total{kind="configuration_news"} )";
  const std::string metrics = gpBodyOf(
    aCluster.Http().Get(aCluster.Entry(aEntry).Address("status"), "/metrics"));
  const std::size_t found = metrics.find(series);
  return found == std::string::npos
           ? 0
           : std::stoull(metrics.substr(found + series.size()));
}

std::uint64_t
CountConfigurationsSent(gpPlatformCluster& aCluster)
{
  std::uint64_t all = 0;
  for (std::size_t entry = 0; entry < aCluster.CountEntries(); ++entry) {
    all += CountConfigurationsSent(aCluster, entry);
  }
  return all;
}

/// Sends the guard a heartbeat of a target with this ID; returns the status.
int
SendHeartbeat(gpPlatformCluster& aCluster,
              std::size_t aGuard,
              const std::string& aId,
              const std::string& aBody)
{
  gpHttpRequest request;
  request.method_ = "PUT";
  request.target_ = "/v1/instances/" + aId;
  request.body_ = aBody;
  return gpStatusOf(aCluster.Http()
                      .Call(aCluster.Guard(aGuard).Address("target"), request)
                      .reply_.get());
}

/// A heartbeat of another writer, as review/1 sends it: without address, zone,
/// version and clockMs, and with slots of another type. It says that it started
/// later than any target.
constexpr const char* kOddForeignHeartbeat =
  R"({"service":"ponds","slots":"8","state":"ready","labels":["a","r1-1"],)"
  R"("capacity":{"cpu":4000,"memMb":1024,"gpu":0},"born":9999999999999,)"
  R"("sequence":1})";
/// The same with all fields.
constexpr const char* kForeignHeartbeat =
  R"({"service":"ponds","slots":8,"state":"ready","labels":["a","r1-1"],)"
  R"("capacity":{"cpu":4000,"memMb":1024,"gpu":0},"born":9999999999999,)"
  R"("sequence":1,"address":"10.0.0.1:80","zone":"z","version":"v1",)"
  R"("clockMs":1,"coldLeftMs":0})";

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

BOOST_AUTO_TEST_CASE(AnOddHeartbeatIsLoggedAndChangesNothing)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  const std::string start =
    R"({"service":"ponds","zone":"z","version":"v","slots":1,"state":"ready",)"
    R"("clockMs":1,"sequence":1000,"capacity":)";
  const std::string address = R"(,"address":"10.0.0.1:80"})";
  const std::string deep =
    std::string(100000, '[') + std::string(100000, ']') + address;
  const std::string badPort = R"({"cpu":1},"address":"10.0.0.1:65536"})";
  const std::vector<std::pair<std::string, std::string>> odd = {
    { start + R"({"cpu":99999999999999})" + address,
      "capacity: cpu: too large" },
    { start + badPort, "address: not a host and a port from 1 to 65535" },
    { start + deep, "not JSON: " },
  };
  for (const auto& [body, fault] : odd) {
    BOOST_TEST(SendHeartbeat(cluster, 0, "i-other", body) == 400);
  }
  cluster.Guard(0).WaitForEvent(
    "bad_input", { { "detail", "bad_request: heartbeat: " + odd[0].second } });
  cluster.Guard(0).WaitForEvent(
    "bad_input", { { "detail", "bad_request: heartbeat: " + odd[1].second } });
  const std::string metrics = gpBodyOf(
    cluster.Http().Get(cluster.Guard(0).Address("status"), "/metrics"));
  BOOST_TEST(metrics.find(R"(gypsumpoint_events_total{kind="bad_input"} 3)") !=
             std::string::npos);
  gpTestCall call = cluster.Submit(0, kJob, 2, gpMillis(30));
  BOOST_TEST(gpBodyOf(call.reply_.get()) == kCompleted);
  BOOST_TEST(cluster.Entry(0).CountEvents("link_down") == 0U);
}

// Guards against a second run of a task at one time (review/1): a heartbeat of
// another writer was taken for a new life of a target, whose runs started
// elsewhere while it ran them on.
BOOST_AUTO_TEST_CASE(AForeignHeartbeatStartsNoTaskTwice)
{
  constexpr int kTasks = 4;
  const std::vector<std::pair<const char*, int>> heartbeats = {
    { kOddForeignHeartbeat, 400 }, { kForeignHeartbeat, 200 }
  };
  for (const auto& [heartbeat, status] : heartbeats) {
    BOOST_TEST_CONTEXT(heartbeat)
    {
      gpPlatformCluster cluster(1, 2);
      cluster.Configure(1);
      cluster.WaitUntilReady();
      gpTestCall call = cluster.Submit(0, kJob, kTasks, gpMillis(1000));
      while (cluster.CountStarts(kJob) < kTasks) {
        std::this_thread::sleep_for(kPollPeriod);
      }
      for (std::size_t guard = 0; guard < cluster.CountGuards(); ++guard) {
        BOOST_TEST(SendHeartbeat(cluster, guard, "i-other", heartbeat) ==
                   status);
      }
      BOOST_TEST(gpBodyOf(call.reply_.get()) == kCompleted);
      BOOST_TEST(cluster.CountStarts(kJob) == kTasks);
    }
  }
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

BOOST_AUTO_TEST_CASE(AStartWhoseAnswerIsLostIsResolved)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  cluster.Control(cluster.Worker(0), R"({"lose_starts":1})");
  const auto reply = cluster.Submit(0, kJob, 1, gpMillis(1000)).reply_.get();
  BOOST_TEST(gpBodyOf(reply) == kCompleted);
  // The start whose answer was lost did run; that run was stopped before the
  // second start.
  BOOST_TEST(cluster.CountStarts(kJob) == 2U);
}

BOOST_AUTO_TEST_CASE(RunsOfADisconnectedCallerAreStopped)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall call = cluster.Submit(0, kJob, 2, gpMillis(60000));
  cluster.Guard(0).WaitForEvent("task_admitted");
  while (cluster.CountRunning() < 2) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  call.cancel_();
  WaitUntilIdle(cluster);
  BOOST_TEST(cluster.CountStarts(kJob) == 2U);
}

BOOST_AUTO_TEST_CASE(RunsOfAKilledEntryAreStoppedAndTheJobRunsElsewhere)
{
  gpPlatformCluster cluster(2, 2);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall lost = cluster.Submit(0, kJob, 2, gpMillis(60000));
  while (cluster.CountRunning() < 2) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  cluster.Entry(0).Kill();
  WaitUntilIdle(cluster);
  const auto reply = cluster.Submit(1, kJob, 2, gpMillis(20)).reply_.get();
  BOOST_TEST(gpBodyOf(reply) == kCompleted);
}

BOOST_AUTO_TEST_CASE(ARestartedGuardStopsRunsOfItsEarlierIncarnation)
{
  gpPlatformCluster cluster(1, 1);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  gpTestCall lost = cluster.Submit(0, kJob, 2, gpMillis(60000));
  while (cluster.CountRunning() < 2) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  cluster.RestartGuard(0);
  WaitUntilIdle(cluster);
  BOOST_TEST(gpStatusOf(lost.reply_.get()) == 504);
}

BOOST_AUTO_TEST_CASE(AGracefulShutdownAnswersAcceptedJobs)
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

BOOST_AUTO_TEST_CASE(ADrainingTargetGetsNoNewTasks)
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

BOOST_AUTO_TEST_CASE(
  AnEntryThatStartsWithoutTheStoreLearnsTheConfigurationFromItsPeers)
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

BOOST_AUTO_TEST_CASE(AnEntryThatStartsAloneLearnsTheConfigurationFromAGuard)
{
  // With a proxy, the entry keeps its address across the restart.
  gpPlatformCluster cluster({ .entries_ = 1, .guards_ = 1, .proxies_ = true });
  cluster.Configure(7);
  cluster.WaitUntilReady();
  WaitForVersion(cluster, cluster.Guard(0), "7");
  cluster.Control(cluster.Store(), R"({"mode":"refuse"})");
  cluster.Entry(0).Kill();
  cluster.StartEntryAgain(0);
  cluster.Entry(0).WaitForEvent("configuration_in_force",
                                { { "number", "7" } });
}

// If each entry sends a large configuration to all its guards, it fills the
// links of small entries. So each guard must receive it from one or two
// entries.
BOOST_AUTO_TEST_CASE(AGuardReceivesAConfigurationFromFewEntries)
{
  constexpr std::size_t kEntries = 3;
  constexpr std::size_t kGuards = 6;
  gpPlatformCluster cluster(kEntries, kGuards);
  cluster.Configure(1);
  cluster.WaitUntilReady();
  for (std::size_t guard = 0; guard < kGuards; ++guard) {
    WaitForVersion(cluster, cluster.Guard(guard), "1");
  }
  const std::uint64_t before = CountConfigurationsSent(cluster);
  cluster.Configure(2);
  for (std::size_t guard = 0; guard < kGuards; ++guard) {
    WaitForVersion(cluster, cluster.Guard(guard), "2");
  }
  // Each entry sends it to each other entry. Each guard receives it once, or
  // twice if the first answer is slow.
  BOOST_TEST(CountConfigurationsSent(cluster) - before <=
             kEntries * (kEntries - 1) + 2 * kGuards);
}

BOOST_AUTO_TEST_CASE(AChangeIsInForceAfterTheStoreRecovers)
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

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"
#include "gpOperatorCall.h"

using boost::unit_test::timeout;

namespace {

constexpr gpMillis kRunTime(20);
constexpr std::uint32_t kSecondWeight = 2;
constexpr std::uint32_t kThirdWeight = 3;

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
LogAddress(gpTestCluster& aCluster)
{
  return aCluster.Log().Address("service").value_;
}

gpOperatorResult
ApplyFile(gpTestCluster& aCluster, std::uint32_t aWeight)
{
  const gpTestFile file(gpTestConfiguration({}, aWeight));
  return gpRunOperatorCall(
    { "apply", file.Path(), "--log", LogAddress(aCluster) });
}

/// `gypsumpoint status` of two entries and a guard.
gpOperatorResult
QueryStatus(gpTestCluster& aCluster)
{
  return gpRunOperatorCall({ "status",
                             "--at",
                             aCluster.Entry(0).Address("http").value_,
                             aCluster.Entry(1).Address("http").value_,
                             aCluster.Guard(0).Address("http").value_ });
}

void
Append(gpTestCluster& aCluster, const std::string& aRecord)
{
  const gpHttpReply reply =
    aCluster.Http().Post(aCluster.Log().Address("service"),
                         "/v1/streams/configuration/records",
                         aRecord);
  BOOST_TEST_REQUIRE(gpStatusOf(reply) == 201);
}

/// Checks that a keyed job runs once, although it's submitted to both entries,
/// and that a job without a key completes.
void
CheckJobsComplete(gpTestCluster& aCluster, const std::string& aKey)
{
  gpTestJob job = gpMakeNamedJob(aKey, 2, kRunTime);
  job.key_ = aKey;
  BOOST_TEST(gpIsComplete(aCluster.SubmitAndWait(0, job), aKey, 2));
  BOOST_TEST(gpIsComplete(aCluster.SubmitAndWait(1, job), aKey, 2));
  BOOST_TEST(aCluster.StartsOf(aKey, 0) == 1U);
  BOOST_TEST(gpIsComplete(
    aCluster.SubmitAndWait(1, gpMakeNamedJob("plain", 1, kRunTime)),
    "plain",
    1));
}

void
CheckApplyIsRefused(gpTestCluster& aCluster)
{
  const gpOperatorResult apply = ApplyFile(aCluster, kSecondWeight);
  BOOST_TEST(apply.exit_ == 1);
  BOOST_TEST_INFO(apply.err_);
  BOOST_TEST(Contains(apply.err_, "nothing was written"));
  const gpOperatorResult status = QueryStatus(aCluster);
  BOOST_TEST(status.exit_ == 0);
  BOOST_TEST(Contains(status.out_, "version 1 apply test-1"));
  BOOST_TEST(!Contains(status.out_, "version 2"));
}

struct ReadyCluster : gpTestCluster
{
  ReadyCluster()
    : gpTestCluster({ .timings_ = gpQuickTimings() })
  {
    Apply(gpTestConfiguration({}));
    WaitUntilReady();
    gpWaitForVersion(*this, Guard(0), 1);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LogFaults)

BOOST_AUTO_TEST_CASE(JobsCompleteAndAppliesAreRefusedWhenTheLogRefuses,
                     *timeout(kCaseSeconds))
{
  ReadyCluster cluster;
  cluster.Control(cluster.Log(), R"({"mode": "refuse"})");
  cluster.Entry(0).WaitForEvent("log_unavailable");
  cluster.Entry(1).WaitForEvent("log_unavailable");
  cluster.Guard(0).WaitForEvent("log_unavailable");
  CheckJobsComplete(cluster, "refused-log");
  CheckApplyIsRefused(cluster);
  BOOST_TEST(Contains(QueryStatus(cluster).out_, "log down"));
  CheckJobsComplete(cluster, "refused-log-later");
  BOOST_TEST(cluster.MaxStartsOfAnyTask() == 1U);
}

BOOST_AUTO_TEST_CASE(JobsCompleteAndAppliesAreRefusedWhenTheLogHangs,
                     *timeout(kCaseSeconds))
{
  ReadyCluster cluster;
  cluster.Control(cluster.Log(), R"({"mode": "hang"})");
  CheckJobsComplete(cluster, "hanging-log");
  CheckApplyIsRefused(cluster);
  CheckJobsComplete(cluster, "hanging-log-later");
  BOOST_TEST(cluster.MaxStartsOfAnyTask() == 1U);
}

BOOST_AUTO_TEST_CASE(AppliesAreInForceEverywhereWhenTheLogIsSlow,
                     *timeout(kCaseSeconds))
{
  ReadyCluster cluster;
  cluster.Control(cluster.Log(), R"({"delay_ms": 500})");
  BOOST_TEST(ApplyFile(cluster, kSecondWeight).exit_ == 0);
  CheckJobsComplete(cluster, "slow-log");
  gpWaitForVersion(cluster, cluster.Entry(0), 2);
  gpWaitForVersion(cluster, cluster.Entry(1), 2);
  gpWaitForVersion(cluster, cluster.Guard(0), 2);
}

BOOST_AUTO_TEST_CASE(ApplyIsSettledByItsIdWhenTheAnswerOfTheLogIsLost,
                     *timeout(kCaseSeconds))
{
  ReadyCluster cluster;
  cluster.Control(cluster.Log(), R"({"mode": "lose_answers"})");
  const gpOperatorResult apply = ApplyFile(cluster, kSecondWeight);
  BOOST_TEST_INFO(apply.err_);
  BOOST_TEST(apply.exit_ == 0);
  BOOST_TEST(Contains(apply.out_, "applied version 2"));
  BOOST_TEST(gpNumberIn(cluster.Show(cluster.Log()), "lost_answers") > 0U);
  gpWaitForVersion(cluster, cluster.Entry(0), 2);
  gpWaitForVersion(cluster, cluster.Entry(1), 2);
  gpWaitForVersion(cluster, cluster.Guard(0), 2);
  BOOST_TEST(QueryStatus(cluster).exit_ == 0);
}

BOOST_AUTO_TEST_CASE(NewEntryRefusesWhenItStartsWhileTheLogIsDown,
                     *timeout(kCaseSeconds))
{
  ReadyCluster cluster;
  gpTestProcess& entry = cluster.Entry(1);
  entry.Kill();
  cluster.Control(cluster.Log(), R"({"mode": "refuse"})");
  entry.Start();
  entry.WaitForEvent("log_unavailable");
  const gpAddress http = entry.Address("http");
  BOOST_TEST(gpStatusOf(cluster.Http().Get(http, "/readyz")) == 503);
  BOOST_TEST(gpStatusOf(cluster.Http().Get(http, "/healthz")) == 200);
  const gpTestAnswer refused =
    cluster.SubmitAndWait(1, gpMakeNamedJob("early", 1, kRunTime));
  BOOST_TEST(refused.status_ == 503);
  BOOST_TEST(refused.code_ == "no_configuration");
  BOOST_TEST(refused.outcome_ == "not_run");
  BOOST_TEST(refused.retryAfterMs_.has_value());
  BOOST_TEST(cluster.TotalStarts() == 0U);

  cluster.Control(cluster.Log(), R"({"mode": "up"})");
  cluster.WaitUntilReady();
  CheckJobsComplete(cluster, "log-is-back");
}

BOOST_AUTO_TEST_CASE(NewEntryTakesNoStaleVersionWhenTheLogDroppedRecords,
                     *timeout(kCaseSeconds))
{
  constexpr int kCheckpointIsDue = 210;
  ReadyCluster cluster;
  BOOST_TEST_REQUIRE(ApplyFile(cluster, kSecondWeight).exit_ == 0);
  BOOST_TEST_REQUIRE(ApplyFile(cluster, kThirdWeight).exit_ == 0);
  gpWaitForVersion(cluster, cluster.Entry(0), 3);
  // This record conflicts with version 3. A process that has read the records
  // before it rejects it.
  constexpr std::uint32_t kStaleWeight = 99;
  Append(cluster,
         R"({"kind":"apply","version":2,"base":1,"apply_id":"stale","file":)" +
           gpTestConfiguration({}, kStaleWeight) + "}");
  cluster.Entry(0).WaitForEvent("configuration_rejected",
                                { { "detail", "conflict" } });
  cluster.Control(cluster.Log(), R"({"retain_records": 1})");
  gpTestProcess& entry = cluster.Entry(1);
  entry.Kill();
  entry.Start();
  entry.WaitForEvent("log_available");
  const gpTestAnswer refused =
    cluster.SubmitAndWait(1, gpMakeNamedJob("early", 1, kRunTime));
  BOOST_TEST(refused.code_ == "no_configuration");
  const gpOperatorResult apply = ApplyFile(cluster, kStaleWeight);
  BOOST_TEST(apply.exit_ == 1);
  BOOST_TEST(Contains(apply.err_, "nothing was written"));

  cluster.Control(cluster.Log(), R"({"retain_records": 1000000})");
  for (int i = 0; i < kCheckpointIsDue; ++i) {
    Append(cluster, "not a record");
  }
  gpWaitForVersion(cluster, entry, 3);
  for (const gpTestEvent& event : entry.GetEvents()) {
    if (event.Is("configuration_in_force")) {
      BOOST_TEST(event.Get("number") == "3");
    }
  }
  BOOST_TEST(QueryStatus(cluster).exit_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE gpNews
#include <boost/test/unit_test.hpp>

#include "gpTestCluster.h"

namespace {

gpTestClusterOptions
QuickOptions()
{
  gpTestClusterOptions options;
  options.entries_ = 1;
  options.timings_.heartbeat_ = gpMillis(100);
  options.timings_.linkSilence_ = gpMillis(1000);
  return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnEntryThatStartsWhileTheLogIsDownTakesJobs)
{
  gpTestCluster cluster(QuickOptions());
  cluster.Apply(cluster.DefaultConfiguration());
  cluster.WaitUntilReady();
  cluster.Control(cluster.Log(), R"({"mode": "refuse"})");

  cluster.Entry(0).Kill();
  cluster.Entry(0).Start();
  cluster.Entry(0).WaitForEvent("configuration_in_force",
                                { { "number", "1" } });
  cluster.WaitUntilReady();

  gpTestJob job;
  job.key_ = "started-without-log";
  job.tasks_.push_back(gpMakeTestTask(gpMillis(20), "held"));
  // Links to the guards open one by one. Until two replicas of the key are
  // linked, the answer is 'unknown'.
  gpTestAnswer answer = cluster.SubmitAndWait(0, job);
  for (int tries = 0; tries < 100 && answer.outcome_ == "unknown"; ++tries) {
    answer = cluster.SubmitAndWait(0, job);
  }
  BOOST_TEST(answer.outcome_ == "complete");
  BOOST_TEST(cluster.StartsOf(job.key_, 0) == 1U);

  const std::string metrics =
    cluster.Http()
      .Get(cluster.Entry(0).Address("http"), "/metrics")
      .response_.value()
      .body_;
  BOOST_TEST(metrics.find("gypsumpoint_response_seconds_count{outcome="
                          "\"complete\"} 1") != std::string::npos);
}

#include "gpOperationsCluster.h"

#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include <boost/json.hpp>

#include "gpTestFailure.h"

namespace {

constexpr gpMillis kPollPeriod(10);

} // namespace

gpTimings
gpQuickTimings()
{
  gpTimings timings;
  timings.heartbeat_ = gpMillis(100);
  timings.linkSilence_ = gpMillis(400);
  timings.inDoubt_ = gpMillis(600);
  timings.memberRemoval_ = gpMillis(1500);
  return timings;
}

std::string
gpTestConfiguration(const gpTestLimits& aLimits, std::uint32_t aWeight)
{
  const boost::json::array services{ "pond-order" };
  boost::json::object file;
  file["services"] = { { "pond-order",
                         { { "region", "gulf-south" },
                           { "limits",
                             { { "queue_tasks", aLimits.queueTasks_ },
                               { "job_tasks", aLimits.jobTasks_ } } } } } };
  file["teams"] = { { "garden-center-7",
                      { { "services", services },
                        { "weight", aWeight },
                        { "max_tasks", aLimits.teamTasks_ } } },
                    { "pond-club",
                      { { "services", services }, { "max_tasks", 2 } } } };
  return boost::json::serialize(file);
}

gpTestJob
gpMakeNamedJob(const std::string& aName, std::size_t aTasks, gpMillis aRunTime)
{
  gpTestJob job;
  job.deadline_ = gpMillis(60000);
  for (std::size_t i = 0; i < aTasks; ++i) {
    gpTestTask task = gpMakeTestTask(aRunTime, aName + "/" + std::to_string(i));
    task.idempotent_ = true;
    job.tasks_.push_back(std::move(task));
  }
  return job;
}

bool
gpIsComplete(const gpTestAnswer& aAnswer,
             const std::string& aName,
             std::size_t aTasks)
{
  if (aAnswer.outcome_ != "complete" || aAnswer.results_.size() != aTasks) {
    return false;
  }
  for (std::size_t i = 0; i < aTasks; ++i) {
    if (aAnswer.results_[i] != aName + "/" + std::to_string(i)) {
      return false;
    }
  }
  return true;
}

void
gpWaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw gpTestFailure("timed out waiting until: " + aWhat);
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

std::uint64_t
gpNumberIn(const std::string& aJson, const std::string& aField)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aJson, error);
  if (error || !value.is_object()) {
    return 0;
  }
  const boost::json::value* field = value.get_object().if_contains(aField);
  return field == nullptr ? 0 : field->to_number<std::uint64_t>();
}

double
gpMetricOf(gpTestCluster& aCluster,
           gpTestProcess& aProcess,
           const std::string& aSample)
{
  const std::string text =
    gpBodyOf(aCluster.Http().Get(aProcess.Address("http"), "/metrics"));
  const std::size_t line = text.find("\n" + aSample + " ");
  return line == std::string::npos
           ? 0
           : std::atof(text.c_str() + line + aSample.size() + 2);
}

std::string
gpStatusText(gpTestCluster& aCluster, gpTestProcess& aProcess)
{
  return gpBodyOf(aCluster.Http().Get(aProcess.Address("http"), "/v1/status"));
}

void
gpWaitForVersion(gpTestCluster& aCluster,
                 gpTestProcess& aProcess,
                 std::uint64_t aVersion)
{
  gpWaitUntil(aProcess.Name() + " has version " + std::to_string(aVersion),
              [&] {
                return gpNumberIn(gpStatusText(aCluster, aProcess),
                                  "configuration_version") == aVersion;
              });
}

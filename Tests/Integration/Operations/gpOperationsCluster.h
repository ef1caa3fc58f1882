#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "gpTestCluster.h"

/// Time limit of a test case, in seconds.
constexpr unsigned kCaseSeconds = 60;

/// Short timings, so that test cases run quickly.
gpTimings
gpQuickTimings();

/// Limits of a configuration that differ between test cases.
struct gpTestLimits
{
  std::uint32_t queueTasks_ = 10000;
  std::uint32_t jobTasks_ = 270;
  std::uint32_t teamTasks_ = 10000;
};

/// A configuration with the service pond-order, the team garden-center-7 with
/// these limits, and the team pond-club, limited to 2 tasks. aWeight is the
/// weight of garden-center-7; tests use it to tell configurations apart.
std::string
gpTestConfiguration(const gpTestLimits& aLimits, std::uint32_t aWeight = 1);

/// A job without a key, whose tasks return "<aName>/<index>".
gpTestJob
gpMakeNamedJob(const std::string& aName, std::size_t aTasks, gpMillis aRunTime);
/// Whether the answer is complete and has the results of the job of that name.
bool
gpIsComplete(const gpTestAnswer& aAnswer,
             const std::string& aName,
             std::size_t aTasks);

/// Waits until the condition is true. Throws gpTestFailure with the text if it
/// isn't true within kTestTimeout.
void
gpWaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition);

/// A number in a JSON object, such as that of /v1/status; 0 if it's missing.
std::uint64_t
gpNumberIn(const std::string& aJson, const std::string& aField);
/// The value of a /metrics sample, such as `a_total{kind="cancel"}`; 0 if it's
/// missing.
double
gpMetricOf(gpTestCluster& aCluster,
           gpTestProcess& aProcess,
           const std::string& aSample);
std::string
gpStatusText(gpTestCluster& aCluster, gpTestProcess& aProcess);
/// Waits until the process reports this configuration version.
void
gpWaitForVersion(gpTestCluster& aCluster,
                 gpTestProcess& aProcess,
                 std::uint64_t aVersion);

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "gpTestCluster.h"

/// Longest time of one case, in seconds.
constexpr unsigned kCaseSeconds = 60;

/// Timings that keep the cases quick.
gpTimings
gpQuickTimings();

/// Limits of a configuration that the cases differ in.
struct gpTestLimits
{
  std::uint32_t queueTasks_ = 10000;
  std::uint32_t jobTasks_ = 270;
  std::uint32_t teamTasks_ = 10000;
};

/// The service, the team garden-center-7 with the limits, and a team pond-club
/// that may have 2 tasks. aNote tells configurations apart: it's a weight.
std::string
gpTestConfiguration(const gpTestLimits& aLimits, std::uint32_t aNote = 1);

/// An unkeyed job of tasks that answer "<aName>/<index>".
gpTestJob
gpMakeNamedJob(const std::string& aName, std::size_t aTasks, gpMillis aRunTime);
/// Whether the answer is complete, with the results of that very job.
bool
gpIsWhole(const gpTestAnswer& aAnswer,
          const std::string& aName,
          std::size_t aTasks);

/// Tries until it's true; throws gpTestFailure with the text if it doesn't
/// become true in kTestPatience.
void
gpWaitUntil(const std::string& aWhat, const std::function<bool()>& aIsTrue);

/// A number of a JSON object, such as that of /v1/status; 0 if it's not there.
std::uint64_t
gpNumberIn(const std::string& aJson, const std::string& aField);
/// A sample of /metrics, such as `a_total{kind="cancel"}`; 0 if it's not there.
double
gpMetricOf(gpTestCluster& aCluster,
           gpTestProcess& aProcess,
           const std::string& aSample);
std::string
gpStatusText(gpTestCluster& aCluster, gpTestProcess& aProcess);
/// Waits until the process reports the version.
void
gpWaitForVersion(gpTestCluster& aCluster,
                 gpTestProcess& aProcess,
                 std::uint64_t aVersion);

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpProcessSettings.h"
#include "gpTime.h"

/** \class gpLeaseSettings
 * \brief The settings file of an entry or guard that serves best-effort jobs on
 * the users' platform.
 */
struct gpLeaseSettings
{
  std::string name_;
  gpSite site_;
  /// Where callers submit jobs; for entries.
  gpAddress callersListen_;
  /// Where the balancer asks whether the process is ready.
  gpAddress statusListen_;
  /// Where the metrics are read; empty: where the status is.
  gpAddress metricsListen_;
  /// Where other processes of the system connect.
  gpAddress linkListen_;
  /// The address for links that others are told; empty: the one in use.
  gpAddress linkAdvertise_;
  /// Processor that an entry may use, in thousandths of a core; 0 if not told.
  std::uint32_t milliCores_ = 0;
  /// Entries to begin with; may be out of date.
  std::vector<gpAddress> entries_;
  gpAddress store_;
  /// The target beside a guard, and where it announces itself.
  gpAddress target_;
  gpAddress targetListen_;
  gpServiceName service_;
  std::string eventLog_ = "-";
  /// Time between the request to end and the kill.
  gpMillis grace_{ 6000 };
};

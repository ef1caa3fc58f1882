#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpClientLimits.h"
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
  /// Listening address for callers' jobs; entries only.
  gpAddress callersListen_;
  /// Listening address for the load balancer's readiness checks and for status
  /// requests.
  gpAddress statusListen_;
  /// Listening address for the metrics; empty: only at statusListen_.
  gpAddress metricsListen_;
  /// Listening address for links from other processes of the system.
  gpAddress linkListen_;
  /// Address for links that is sent to other processes; empty: the address that
  /// the process listens at.
  gpAddress linkAdvertise_;
  /// CPU that an entry may use, in thousandths of a core; 0 if not known.
  std::uint32_t milliCores_ = 0;
  /// Initial list of entries; may be out of date.
  std::vector<gpAddress> entries_;
  /// Address of the platform's metadata store.
  gpAddress store_;
  /// Number of partitions of each topic of the store, at least 1.
  std::uint32_t storePartitions_ = 1;
  /// Address of the target beside a guard.
  gpAddress target_;
  /// Listening address of a guard for the heartbeats of its target.
  gpAddress targetListen_;
  /// Service of a guard's target.
  gpServiceName service_;
  /// File of the event log; "-" is the standard output.
  std::string eventLog_ = "-";
  /// Time between the request to stop (SIGTERM) and the kill by the platform.
  gpMillis grace_{ 6000 };
  gpClientLimits limits_ = kEntryClientLimits;
};

#pragma once

#include <string>
#include <vector>

#include "gpClientLimits.h"
#include "gpIds.h"
#include "gpTime.h"

/** \class gpTimings
 * \brief Timeouts and periods that entries and guards share.
 */
struct gpTimings
{
  /// Period of heartbeats on an idle link.
  gpMillis heartbeat_{ 1000 };
  /// A link on which nothing was received for this time is closed.
  gpMillis linkSilence_{ 3000 };
  /// How long an entry waits for the verdict of one replica before it also asks
  /// the next one.
  gpMillis claimReply_{ 250 };
  /// Timeout of a whole claim, after which the job is refused.
  gpMillis claimTotal_{ 2000 };
  /// A task in flight whose guard has been unreachable for this time fails with
  /// gpFailureCode::TaskInDoubt.
  gpMillis inDoubt_{ 3000 };
  /// A guard that has been unreachable for this time is removed from the
  /// roster.
  gpMillis memberRemoval_{ 15000 };
  /// At a shutdown, how long the process waits for its work in flight to end.
  gpMillis shutdown_{ 30000 };
};

/** \class gpSite
 * \brief The location of a process.
 */
struct gpSite
{
  gpRegionName region_;
  gpDataCentreName dataCentre_;
  gpRackName rack_;
};

/** \class gpEntrySettings
 * \brief The settings file of an entry.
 */
struct gpEntrySettings
{
  std::string name_;
  gpSite site_;
  /// Listening address for callers and operators.
  gpAddress httpListen_;
  /// Listening address for links from other processes of the system.
  gpAddress linkListen_;
  /// Address for links that is sent to other processes; empty: the address that
  /// the process listens at.
  gpAddress linkAdvertise_;
  gpAddress logService_;
  /// File of the event log; "-" is the standard output.
  std::string eventLog_ = "-";
  gpTimings timings_;
  gpClientLimits limits_ = kOwnInterfaceLimits;
};

/** \class gpGuardSettings
 * \brief The settings file of a guard.
 */
struct gpGuardSettings
{
  std::string name_;
  gpSite site_;
  /// Listening address for the target's announcements and for operators.
  gpAddress httpListen_;
  /// Listening address for links from other processes of the system.
  gpAddress linkListen_;
  /// Address for links that is sent to other processes; empty: the address that
  /// the process listens at.
  gpAddress linkAdvertise_;
  gpAddress logService_;
  /// Entries to announce the target to while the log service is unavailable.
  std::vector<gpAddress> entries_;
  /// File of the event log; "-" is the standard output.
  std::string eventLog_ = "-";
  gpTimings timings_;
  gpClientLimits limits_ = kOwnInterfaceLimits;
};

#pragma once

#include <string>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/** \class gpTimings
 * \brief Timeouts and periods that entries and guards share.
 */
struct gpTimings
{
  /// Period of reports on an idle link.
  gpMillis heartbeat_{ 1000 };
  /// A link on which nothing is heard for so long is closed.
  gpMillis linkSilence_{ 3000 };
  /// Longest wait for one holder's verdict before the next is asked.
  gpMillis claimReply_{ 250 };
  /// Longest time for a whole claim; then the job is refused.
  gpMillis claimTotal_{ 2000 };
  /// A task in doubt whose guard isn't heard for so long is given up.
  gpMillis inDoubt_{ 3000 };
  /// A guard that isn't reached for so long is taken off the roster.
  gpMillis memberRemoval_{ 15000 };
  /// Longest time for the end of the work in flight at a shutdown.
  gpMillis shutdown_{ 30000 };
};

/** \class gpSite
 * \brief Where a process runs.
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
  /// Where callers connect.
  gpAddress httpListen_;
  /// Where other processes of the system connect.
  gpAddress linkListen_;
  /// The address for links that is told to others; empty: the one in use.
  gpAddress linkAdvertise_;
  gpAddress logService_;
  /// File of the event log; "-" is the standard output.
  std::string eventLog_ = "-";
  gpTimings timings_;
};

/** \class gpGuardSettings
 * \brief The settings file of a guard.
 */
struct gpGuardSettings
{
  std::string name_;
  gpSite site_;
  /// Where the target announces itself and operators look.
  gpAddress httpListen_;
  /// Where other processes of the system connect.
  gpAddress linkListen_;
  /// The address for links that is told to others; empty: the one in use.
  gpAddress linkAdvertise_;
  gpAddress logService_;
  /// Entries to announce the target to while the log service is down.
  std::vector<gpAddress> entries_;
  std::string eventLog_ = "-";
  gpTimings timings_;
};

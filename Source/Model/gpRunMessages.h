#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpCrashMessages.h"
#include "gpIds.h"
#include "gpResources.h"
#include "gpRunId.h"
#include "gpTime.h"

/** \brief Messages about the runs of best-effort tasks; see
 * docs/design/platform.md.
 *
 * A run is one execution of a task on a target. An entry orders it at the guard
 * beside the target. The guard holds a lease at the target and renews it as
 * long as it lives; when the lease expires, the target stops the guard's runs.
 */

/** \class gpRunOrder
 * \brief Entry to guard: orders the start of runs at the guard's target.
 */
struct gpRunOrder
{
  /// The caller's specification of the tasks; passed to the target unchanged.
  std::string spec_;
  /// Resources that each of the runs needs.
  gpResources needs_;
  /// Expected time of each run on a target of average speed.
  gpMillis estimate_{ 0 };
  std::vector<gpRunId> runs_;
  /// The queue of the tasks' job; empty from entries of an older version.
  gpQueueName queue_;
  /// Whether the target itself refuses what doesn't fit.
  bool capacityEnforced_ = false;

  bool operator==(const gpRunOrder&) const = default;
};

/** \class gpRunCancel
 * \brief Entry to guard: cancels runs, and stops those that are running.
 */
struct gpRunCancel
{
  std::vector<gpRunId> runs_;

  bool operator==(const gpRunCancel&) const = default;
};

/// How a run ended. With each of these values the run is no longer running.
enum class gpRunEnd
{
  Done,      ///< the task completed
  Failed,    ///< the task failed, by an error of its own or of the target
  Stopped,   ///< stopped, or its lease expired; not counted as an attempt
  NoRoom,    ///< not started: the target has too little free capacity
  Leaving,   ///< not started: the target is draining
  Unhealthy, ///< not started: the target refused it or is unreachable
  Outdated,  ///< not started: the target has seen a higher run number
};

/** \class gpRunReport
 * \brief Guard to entry: a run has ended, or was not started.
 */
struct gpRunReport
{
  gpRunId run_;
  gpRunEnd end_ = gpRunEnd::Done;
  /// Time between the order's arrival at the guard and the end of the run.
  gpMicros time_{ 0 };

  bool operator==(const gpRunReport&) const = default;
};

/** \class gpRunsHeld
 * \brief Guard to entry, as the first message on a link: the runs of this entry
 * that have not ended. All other runs that the entry ordered on earlier links
 * have ended.
 */
struct gpRunsHeld
{
  std::vector<gpRunId> runs_;

  bool operator==(const gpRunsHeld&) const = default;
};

/** \class gpTargetUpdate
 * \brief Guard to entry: the properties of the target; sent when they change.
 */
struct gpTargetUpdate
{
  gpServiceName service_;
  gpDataCentreName dataCentre_;
  /// Machine type and rack of the target, as it announced them.
  std::vector<std::string> labels_;
  gpResources capacity_;
  /// False while the target is draining, unreachable or unknown.
  bool takesWork_ = false;
  /// Crashes of the guard's target in the last seconds.
  std::vector<gpTargetCrash> crashes_;

  bool operator==(const gpTargetUpdate&) const = default;
};

/** \class gpCapacityReport
 * \brief Guard to entry: the free capacity of the target.
 */
struct gpCapacityReport
{
  gpResources free_;
  /// Number of runs ordered on this link that free_ already accounts for.
  std::uint64_t runsSeen_ = 0;
  /// Number of entries that share the target: the receiver, and others that
  /// ordered runs recently.
  std::uint32_t sharingEntries_ = 1;
  /// Average ratio of run time to estimate at the target, in thousandths.
  std::uint32_t slownessPermille_ = 1000;

  bool operator==(const gpCapacityReport&) const = default;
};

/** \class gpKnownEntry
 * \brief An entry, as other processes know it.
 */
struct gpKnownEntry
{
  /// Address at which it accepts links.
  gpAddress address_;
  /// Empty if only the address is known, such as from the settings.
  gpDataCentreName dataCentre_;
  /// CPU that it may use, in thousandths of a core; 0 if not known.
  std::uint32_t milliCores_ = 0;

  bool operator==(const gpKnownEntry&) const = default;
};

/** \class gpEndedJob
 * \brief A best-effort job that has ended for good.
 */
struct gpEndedJob
{
  std::string id_;
  /// Time since it ended, or since its end became known.
  gpMillis age_{ 0 };

  bool operator==(const gpEndedJob&) const = default;
};

/** \class gpEntryUpdate
 * rief Entry to any process: entries, crashes and ended jobs that the sender
 * knows. All of them are sent when the link opens, and later each one that the
 * sender learns of. Guards aren't sent ended jobs, and crashes only those of
 * which the entry learns while they are linked; they tell these to entries that
 * link later.
 */
struct gpEntryUpdate
{
  std::vector<gpKnownEntry> entries_;
  std::vector<gpTargetCrash> crashes_;
  /// Sent when the link opens.
  std::vector<gpContainedQueue> contained_;
  /// Jobs that were cancelled, at this or any other entry.
  std::vector<gpEndedJob> cancelled_;
  /// Jobs that were completed by the sender. They aren't passed on.
  std::vector<gpEndedJob> completed_;

  bool operator==(const gpEntryUpdate&) const = default;
};

/// The name of a gpRunEnd in logs, such as "no_room".
std::string
gpRunEndName(gpRunEnd aEnd);

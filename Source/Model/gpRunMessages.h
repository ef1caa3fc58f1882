#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"
#include "gpTime.h"

/** \brief Messages about the runs of best-effort tasks; see
 * docs/design/platform.md.
 *
 * A family of plain aggregates shares this file.
 */

/** \class gpRunId
 * \brief Names one run of one task, as targets know it.
 */
struct gpRunId
{
  /// The task's name; the same in each submission of its job.
  std::string task_;
  /// Higher than that of each earlier run of the task.
  std::uint64_t number_ = 0;

  // A false positive of clang-tidy 14, see gpStrongType.h.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpRunId&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const gpRunId& aId)
  {
    return H::combine(std::move(aState), aId.task_, aId.number_);
  }
};

/** \class gpRunOrder
 * \brief Entry to guard: start these runs at your target.
 */
struct gpRunOrder
{
  /// What the tasks are to do; handed on to the target as it is.
  std::string spec_;
  /// What each of the runs needs.
  gpResources needs_;
  /// What each of them is expected to take on a target of usual speed.
  gpMillis estimate_{ 0 };
  std::vector<gpRunId> runs_;

  bool operator==(const gpRunOrder&) const = default;
};

/** \class gpRunCancel
 * \brief Entry to guard: don't start these runs, and stop those that run.
 */
struct gpRunCancel
{
  std::vector<gpRunId> runs_;

  bool operator==(const gpRunCancel&) const = default;
};

/// How a run ended. After each of them nothing of the run is at work.
enum class gpRunEnd
{
  Done,      ///< the task is complete
  Failed,    ///< the task failed, by its own fault or the target's
  Stopped,   ///< it was stopped, or its lease lapsed; it counts as no attempt
  NoRoom,    ///< not started: the target is full
  Leaving,   ///< not started: the target gets no new work
  Unhealthy, ///< not started: the target refused it or can't be reached
  Outdated,  ///< not started: the target has seen a higher run number
};

/** \class gpRunReport
 * \brief Guard to entry: a run has ended, or was not started.
 */
struct gpRunReport
{
  gpRunId run_;
  gpRunEnd end_ = gpRunEnd::Done;
  /// From the order's arrival at the guard to the end.
  gpMicros time_{ 0 };

  bool operator==(const gpRunReport&) const = default;
};

/** \class gpRunsHeld
 * \brief Guard to entry, first on a link: the runs of this entry that are not
 * over yet. All others that the entry ordered on earlier links are over.
 */
struct gpRunsHeld
{
  std::vector<gpRunId> runs_;

  bool operator==(const gpRunsHeld&) const = default;
};

/** \class gpTargetNews
 * \brief Guard to entry: what the target is; sent when it changes.
 */
struct gpTargetNews
{
  gpServiceName service_;
  gpDataCentreName dataCentre_;
  /// Kind and rack of the target, as it announced them.
  std::vector<std::string> labels_;
  gpResources capacity_;
  /// Not set to true while the target leaves, is unreachable or unknown.
  bool takesWork_ = false;

  bool operator==(const gpTargetNews&) const = default;
};

/** \class gpRoomReport
 * \brief Guard to entry: what is free at the target.
 */
struct gpRoomReport
{
  gpResources free_;
  /// Runs ordered on this link that the figure takes into account.
  std::uint64_t runsSeen_ = 0;
  /// Entries that share the target: the receiver, and others that ordered runs
  /// lately.
  std::uint32_t sharers_ = 1;
  /// Run time over estimate at the target, in thousandths.
  std::uint32_t slownessPermille_ = 1000;

  bool operator==(const gpRoomReport&) const = default;
};

/** \class gpKnownEntry
 * \brief An entry as others hear of it.
 */
struct gpKnownEntry
{
  /// Where it listens for links.
  gpAddress address_;
  /// Empty if only the address is known, as from the settings.
  gpDataCentreName dataCentre_;
  /// Processor that it may use, in thousandths of a core; 0 if not known.
  std::uint32_t milliCores_ = 0;

  bool operator==(const gpKnownEntry&) const = default;
};

/** \class gpEntryNews
 * \brief Entry to any process: entries that the sender knows, all of them when
 * the link opens and then those that it has heard of since.
 */
struct gpEntryNews
{
  std::vector<gpKnownEntry> entries_;

  bool operator==(const gpEntryNews&) const = default;
};

/// The name of an end in logs, such as "no_room".
std::string
gpRunEndName(gpRunEnd aEnd);

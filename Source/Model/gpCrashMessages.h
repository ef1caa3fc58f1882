#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpRunId.h"
#include "gpTime.h"

/** \brief Contents of messages about crashes of targets; see
 * docs/design/crashes.md. */

/// A run that was ordered at most so long before a crash may be the cause, as
/// tasks that crash their target mostly do so at once. Tasks of one queue that
/// do so later differ by less than this in their ages.
constexpr gpMillis kCrashAgeWidth{ 20 };

/** \class gpLostRun
 * \brief A run that was lost when its target crashed.
 */
struct gpLostRun
{
  gpRunId run_;
  gpQueueName queue_;
  /// Whether it started so shortly before the crash that it may be the cause.
  bool suspected_ = false;
  /// Whether the target has confirmed that it started.
  bool started_ = false;
  /// How long before the crash it was ordered. Not set if it was ordered later,
  /// or if the time of the crash isn't known.
  std::optional<gpMillis> age_ = std::nullopt;

  bool operator==(const gpLostRun&) const = default;
};

/** \class gpQueueActivity
 * \brief How often tasks of a queue start at a target.
 */
struct gpQueueActivity
{
  gpQueueName queue_;
  /// Chance, in thousandths, that a run of the queue is suspected of a crash
  /// with which it has nothing to do.
  std::uint32_t chancePermille_ = 0;

  bool operator==(const gpQueueActivity&) const = default;
};

/** \class gpContainedQueue
 * \brief A queue whose tasks crash targets, and so may use only a few of the
 * service's targets.
 */
struct gpContainedQueue
{
  gpQueueName queue_;
  gpServiceName service_;
  /// How long after their start its tasks crash their targets, at least; at
  /// most kCrashAgeWidth longer.
  gpMillis crashAge_{ 0 };

  bool operator==(const gpContainedQueue&) const = default;
};

/// What is known about the loss of a target.
enum class gpCrashState
{
  Suspected, ///< the target can't be reached
  Confirmed, ///< it has crashed: its next incarnation has appeared
  Refuted,   ///< it has not crashed: the same incarnation answers again
};

/** \class gpTargetCrash
 * \brief A crash of a target, or the loss of one that can't be told from a
 * crash. Known by the ID of the target and the number.
 */
struct gpTargetCrash
{
  /// ID of the target.
  std::string target_;
  /// Service of the target. Empty if the guard is of an older version.
  gpServiceName service_;
  /// Tells the crashes of a target apart; increases with each.
  std::uint64_t number_ = 0;
  gpCrashState state_ = gpCrashState::Suspected;
  std::vector<gpLostRun> runs_;
  /// The queues whose tasks have started at the target lately. Empty if the
  /// time of the crash isn't known.
  std::vector<gpQueueActivity> queues_;

  bool operator==(const gpTargetCrash&) const = default;
};

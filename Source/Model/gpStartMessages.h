#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpAnswer.h"
#include "gpIds.h"
#include "gpTime.h"

/** \brief Messages about the start of tasks; see docs/design/start-ledger.md.
 *
 * An entry sends each task to the guard beside a target. If an attempt is
 * refused, the entry may send the task again, as the next attempt. The guard
 * records every attempt, so that none is started twice and the entry can find
 * out what became of it after a lost link.
 */

/** \class gpStart
 * \brief Entry to guard: asks for the start of a task at the guard's target.
 */
struct gpStart
{
  gpTaskId task_;
  gpAttempt attempt_;
  /// The caller's submission key, passed on to the target.
  std::optional<gpSubmissionKey> key_;
  std::string path_;
  std::string body_;
  /// Time left until the job's deadline.
  gpMillis remaining_{ 0 };

  bool operator==(const gpStart&) const = default;
};

/// Why a guard did not start a task. In all cases the task was not run.
enum class gpRefusal
{
  NoSlot,     ///< all slots of the target are in use
  Leaving,    ///< the target is leaving and gets no new tasks
  Tombstone,  ///< the entry resolved the attempt before the start arrived
  Connection, ///< the target was unreachable; no byte was sent
  Expired,    ///< the deadline had passed
  Cancelled,  ///< the task was cancelled before its first byte was sent
};

/** \class gpStartRefused
 * \brief Guard to entry: this attempt was not run and never will be.
 */
struct gpStartRefused
{
  gpTaskId task_;
  gpAttempt attempt_;
  gpRefusal reason_ = gpRefusal::NoSlot;
  std::uint32_t freeSlots_ = 0;

  bool operator==(const gpStartRefused&) const = default;
};

/// How a started task ended.
enum class gpTaskEnd
{
  Answered, ///< the target answered with a status of 200 to 499
  Failed,   ///< the target answered with a server error (status 500 or above)
  Broken,   ///< the exchange was interrupted after the first byte was sent
};

/** \class gpStartResult
 * \brief Guard to entry: a started task has ended.
 */
struct gpStartResult
{
  gpTaskId task_;
  gpAttempt attempt_;
  gpTaskEnd end_ = gpTaskEnd::Broken;
  gpTaskResult result_;
  /// Time between the first byte sent and the last byte received.
  gpMicros runTime_{ 0 };
  std::uint32_t freeSlots_ = 0;

  bool operator==(const gpStartResult&) const = default;
};

/** \class gpAttemptId
 * \brief Identifies one attempt to start one task.
 */
struct gpAttemptId
{
  gpTaskId task_;
  gpAttempt attempt_;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpAttemptId&) const = default;
};

/** \class gpResolve
 * \brief Entry to guard: asks for the states of these attempts, after a link
 * was lost.
 *
 * For an attempt that the guard has never seen, it stores a tombstone: if the
 * start arrives later it's refused, so that the answer 'never seen' stays true.
 */
struct gpResolve
{
  std::vector<gpAttemptId> attempts_;

  bool operator==(const gpResolve&) const = default;
};

/// The state of an attempt at a guard.
enum class gpAttemptState
{
  NeverSeen, ///< not run; if the start arrives later, it's refused
  Refused,   ///< not run
  Running,   ///< the result will follow on this link
  Ended,     ///< the result follows as gpStartResult
};

/** \class gpResolution
 * \brief The state of one attempt in a gpResolveReply.
 */
struct gpResolution
{
  gpAttemptId attempt_;
  gpAttemptState state_ = gpAttemptState::NeverSeen;

  bool operator==(const gpResolution&) const = default;
};

/** \class gpResolveReply
 * \brief Guard to entry: the states of the attempts in a gpResolve.
 */
struct gpResolveReply
{
  std::vector<gpResolution> resolutions_;

  bool operator==(const gpResolveReply&) const = default;
};

/** \class gpCancel
 * \brief Entry to guard: cancels attempts, and aborts those that are running.
 *
 * A gpStartRefused or gpStartResult still follows for each attempt.
 */
struct gpCancel
{
  std::vector<gpAttemptId> attempts_;

  bool operator==(const gpCancel&) const = default;
};

/** \class gpSlotReport
 * \brief Guard to entry: the slots of the target.
 *
 * Sent when a link opens, when slots_ or leaving_ changes, and when a slot is
 * freed after the entry was refused one. Other changes of freeSlots_ are
 * reported with the next heartbeat only.
 */
struct gpSlotReport
{
  std::uint32_t slots_ = 0;
  std::uint32_t freeSlots_ = 0;
  /// The target is leaving and gets no new tasks.
  bool leaving_ = false;

  bool operator==(const gpSlotReport&) const = default;
};

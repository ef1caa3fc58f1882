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
 * A family of plain aggregates shares this file.
 */

/** \class gpStart
 * \brief Entry to guard: start this task at your target.
 */
struct gpStart
{
  gpTaskId task_;
  gpAttempt attempt_;
  /// The caller's submission key, for the target's own records.
  std::optional<gpSubmissionKey> key_;
  std::string path_;
  std::string body_;
  /// Time left until the job's deadline.
  gpMillis remaining_{ 0 };

  bool operator==(const gpStart&) const = default;
};

/// Why a guard did not start a task. All of them mean 'not run'.
enum class gpRefusal
{
  NoSlot,     ///< all slots of the target are taken
  Leaving,    ///< the target gets no new work
  Tombstone,  ///< the attempt was given up before it arrived
  Connection, ///< the target could not be reached; no byte was sent
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
  Failed,   ///< the target answered with an error of its own (status 500 up)
  Broken,   ///< the exchange broke off after the first byte
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
 * \brief Names one attempt to start one task.
 */
struct gpAttemptId
{
  gpTaskId task_;
  gpAttempt attempt_;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpAttemptId&) const = default;
};

/** \class gpResolve
 * \brief Entry to guard: what became of these attempts?
 *
 * An attempt that the guard has never seen leaves a tombstone, so that the
 * answer 'never seen' stays true when the start arrives later.
 */
struct gpResolve
{
  std::vector<gpAttemptId> attempts_;

  bool operator==(const gpResolve&) const = default;
};

/// What a guard knows of an attempt.
enum class gpAttemptState
{
  NeverSeen, ///< not run; a tombstone now refuses it
  Refused,   ///< not run
  Running,   ///< the result will follow on this link
  Ended,     ///< the result follows as gpStartResult
};

/** \class gpResolution
 * \brief One line of a gpResolveReply.
 */
struct gpResolution
{
  gpAttemptId attempt_;
  gpAttemptState state_ = gpAttemptState::NeverSeen;

  bool operator==(const gpResolution&) const = default;
};

/** \class gpResolveReply
 * \brief Guard to entry: what became of the attempts asked for.
 */
struct gpResolveReply
{
  std::vector<gpResolution> resolutions_;

  bool operator==(const gpResolveReply&) const = default;
};

/** \class gpCancel
 * \brief Entry to guard: don't start these tasks, and end them if they run.
 *
 * Each attempt gets its gpStartRefused or gpStartResult as without a cancel.
 */
struct gpCancel
{
  std::vector<gpAttemptId> attempts_;

  bool operator==(const gpCancel&) const = default;
};

/** \class gpSlotReport
 * \brief Guard to entry: the state of the target, on a slow heartbeat and when
 * it changes in kind.
 */
struct gpSlotReport
{
  std::uint32_t slots_ = 0;
  std::uint32_t freeSlots_ = 0;
  /// The target is leaving and gets no new work.
  bool leaving_ = false;

  bool operator==(const gpSlotReport&) const = default;
};

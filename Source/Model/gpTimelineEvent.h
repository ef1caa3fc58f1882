#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gpIds.h"

/// The kind of an event in the event log, which is also called the time line.
enum class gpEventKind
{
  ProcessStarted,
  Listening,
  ProcessStopping,
  ProcessStopped,
  LinkUp,
  LinkDown,
  JobAdmitted,
  JobAnswered,
  JobAttached,    ///< a repeated submission waits for the answer of another
  CallerGone,     ///< the caller disconnected before it was answered
  ClaimAsked,     ///< an entry starts to claim the key of a job
  ClaimGranted,   ///< a replica granted the claim
  ClaimDenied,    ///< a replica did not grant the claim
  ClaimWon,       ///< a majority of the replicas granted the claim
  ClaimWithdrawn, ///< the entry sends a withdrawal of its claim
  ClaimReleased,  ///< a guard received the withdrawal
  ClaimsCopied,   ///< a new replica has copied its claims and is complete
  TaskSent,
  TaskAdmitted, ///< a guard starts the task at its target
  TaskRefused,
  TaskEnded,
  TaskInDoubt,  ///< the link to the guard was lost while the task was in flight
  TaskResolved, ///< the task is no longer in doubt, or its guard has ended
  TaskTombstoned, ///< a guard has never seen the attempt and will refuse it
  TaskCancelled,
  TargetAnnounced,
  TargetLeaving,
  TargetEjected,
  TargetProbed, ///< an ejected target is sent one task as a test
  TargetReadmitted,
  MemberJoined,
  MemberRemoved,
  RosterInForce,
  ConfigurationInForce,
  ConfigurationRejected,
  LogUnavailable,
  LogAvailable,
  BadInput, ///< input was invalid, or a guard was paused for too long
  SettingsReloaded,
  SettingsRejected,
  LinesDropped, ///< events were not written; number_ says how many
  TaskWaiting,  ///< no target could be given the first task of a job
  TargetCrashed,
  TaskSuspected,  ///< the task may have crashed its target
  QueueContained, ///< tasks of the queue crash targets; it may use only a few
  QueueReleased,
  ClientsLimited, ///< a limit on all clients together was reached; see detail_
};

/// The last kind, for loops over all kinds.
constexpr gpEventKind kGpLastEventKind = gpEventKind::ClientsLimited;

/** \class gpTimelineEvent
 * \brief One event of the event log. The log adds the process and the time.
 */
struct gpTimelineEvent
{
  gpEventKind kind_ = gpEventKind::ProcessStarted;
  std::optional<gpJobId> job_;
  std::optional<gpTaskIndex> task_;
  std::optional<gpAttempt> attempt_;
  std::optional<gpServiceKey> key_;
  /// Incarnation of the other process involved.
  std::optional<gpIncarnation> peer_;
  /// A version, an epoch, an offset or a count, depending on the kind.
  std::optional<std::uint64_t> number_;
  /// The name of an error, a reason or an address, depending on the kind.
  std::string detail_;
};

/// The name of a kind in the event log, such as "task_sent".
std::string_view
gpEventKindName(gpEventKind aKind);

/// A job as "<incarnation as 16 hex digits>-<sequence>", for the event log.
std::string
gpJobIdText(const gpJobId& aJob);
/// 16 hexadecimal digits.
std::string
gpIncarnationText(gpIncarnation aIncarnation);

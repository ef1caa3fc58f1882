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
  JobAttached,
  CallerGone,
  ClaimAsked,
  ClaimGranted,
  ClaimDenied,
  ClaimWon,
  ClaimWithdrawn,
  ClaimReleased,
  ClaimsCopied,
  TaskSent,
  TaskAdmitted,
  TaskRefused,
  TaskEnded,
  TaskInDoubt,
  TaskResolved,
  TaskTombstoned,
  TaskCancelled,
  TargetAnnounced,
  TargetLeaving,
  TargetEjected,
  TargetProbed,
  TargetReadmitted,
  MemberJoined,
  MemberRemoved,
  RosterInForce,
  ConfigurationInForce,
  ConfigurationRejected,
  LogUnavailable,
  LogAvailable,
  BadInput,
  SettingsReloaded,
  SettingsRejected,
  LinesDropped,
};

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

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gpIds.h"

/// What happened, as the time line names it.
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
 * \brief One line of the time line, before the process adds who and when.
 */
struct gpTimelineEvent
{
  gpEventKind kind_ = gpEventKind::ProcessStarted;
  std::optional<gpJobId> job_;
  std::optional<gpTaskIndex> task_;
  std::optional<gpAttempt> attempt_;
  std::optional<gpServiceKey> key_;
  /// Incarnation of the other process that took part.
  std::optional<gpIncarnation> peer_;
  /// A version, an epoch or an offset, by kind.
  std::optional<std::uint64_t> number_;
  /// The name of an error, a reason or an address, by kind.
  std::string detail_;
};

/// The name of a kind in logs, such as "task_sent".
std::string_view
gpEventKindName(gpEventKind aKind);

/// "<incarnation as 16 hex digits>-<sequence>", as logs show a job.
std::string
gpJobIdText(const gpJobId& aJob);
/// 16 hexadecimal digits.
std::string
gpIncarnationText(gpIncarnation aIncarnation);

#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "gpClaimMessages.h"
#include "gpMember.h"
#include "gpRunMessages.h"
#include "gpStartMessages.h"

/** \class gpConfigurationUpdate
 * \brief Any process to any: the newest configuration of the sender.
 */
struct gpConfigurationUpdate
{
  gpConfigVersion version_;
  gpApplyId applyId_;
  /// Offset up to which the sender has read the log.
  gpLogOffset asOf_;
  /// Content of the configuration file.
  std::string text_;

  bool operator==(const gpConfigurationUpdate&) const = default;
};

/** \class gpRosterUpdate
 * \brief Any process to any: the newest roster of the sender.
 *
 * Only a process that has no roster yet adopts it; all others read the roster
 * from the log, because replicas must process each epoch in order.
 */
struct gpRosterUpdate
{
  gpRoster roster_;

  bool operator==(const gpRosterUpdate&) const = default;
};

/** \class gpAnnounce
 * \brief Guard to entry: the target beside the guard takes tasks, and the entry
 * shall open a link to the guard.
 *
 * Sent to the entries in the guard's settings, so that they learn of the target
 * also while the log service is unavailable.
 */
struct gpAnnounce
{
  gpMember member_;

  bool operator==(const gpAnnounce&) const = default;
};

/** \class gpUpdateRequest
 * \brief Any process to any: asks for a newer configuration, and for a roster
 * if the sender has none.
 *
 * A process that reads the log service sends it only while the log is
 * unavailable; entries and guards for best-effort jobs send it periodically.
 */
struct gpUpdateRequest
{
  /// Version of the sender's configuration.
  gpConfigVersion version_;
  /// Epoch of the sender's roster; 0 if it has none.
  gpRosterEpoch epoch_;

  bool operator==(const gpUpdateRequest&) const = default;
};

/// All messages between the processes of the system.
using gpMessage = std::variant<gpClaimRequest,
                               gpClaimReply,
                               gpClaimWithdraw,
                               gpClaimOutcome,
                               gpClaimQuery,
                               gpCopyRequest,
                               gpCopyReply,
                               gpAttachRequest,
                               gpAttachReply,
                               gpStart,
                               gpStartRefused,
                               gpStartResult,
                               gpResolve,
                               gpResolveReply,
                               gpCancel,
                               gpSlotReport,
                               gpConfigurationUpdate,
                               gpRosterUpdate,
                               gpAnnounce,
                               gpUpdateRequest,
                               gpRunOrder,
                               gpRunCancel,
                               gpRunReport,
                               gpRunsHeld,
                               gpTargetUpdate,
                               gpCapacityReport,
                               gpEntryUpdate>;

#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "gpClaimMessages.h"
#include "gpMember.h"
#include "gpRunMessages.h"
#include "gpStartMessages.h"

/** \class gpConfigurationNews
 * \brief Any process to any: the newest configuration that I have.
 */
struct gpConfigurationNews
{
  gpConfigVersion version_;
  gpApplyId applyId_;
  /// Offset of the log up to which the sender has read.
  gpLogOffset asOf_;
  /// The configuration file.
  std::string text_;

  bool operator==(const gpConfigurationNews&) const = default;
};

/** \class gpRosterNews
 * \brief Any process to any: the newest roster that I have.
 *
 * Only a process that has no roster yet takes it over; all others follow the
 * log, because holders must see each epoch in turn.
 */
struct gpRosterNews
{
  gpRoster roster_;

  bool operator==(const gpRosterNews&) const = default;
};

/** \class gpAnnounce
 * \brief Guard to entry: the target beside me serves; link to me.
 */
struct gpAnnounce
{
  gpMember member_;

  bool operator==(const gpAnnounce&) const = default;
};

/** \class gpNewsRequest
 * \brief Any process to any: tell me what you have that is newer. Sent only
 * while the sender can't read the log service.
 */
struct gpNewsRequest
{
  gpConfigVersion version_;
  gpRosterEpoch epoch_;

  bool operator==(const gpNewsRequest&) const = default;
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
                               gpConfigurationNews,
                               gpRosterNews,
                               gpAnnounce,
                               gpNewsRequest,
                               gpRunOrder,
                               gpRunCancel,
                               gpRunReport,
                               gpRunsHeld,
                               gpTargetNews,
                               gpRoomReport,
                               gpEntryNews>;

#pragma once

#include <optional>
#include <variant>

#include "gpConfiguration.h"
#include "gpError.h"
#include "gpIds.h"
#include "gpMember.h"
#include "gpMessage.h"
#include "gpPeer.h"
#include "gpSubmission.h"
#include "gpTime.h"

/** \brief The input events of the entry reducer and the guard reducer.
 *
 * Each kind of event is a plain aggregate.
 */

/// A caller submitted a job.
struct gpJobSubmitted
{
  gpRequestId request_;
  gpSubmission submission_;
};

/// A caller asks for the answer of the job that was submitted with a key.
struct gpJobQueried
{
  gpRequestId request_;
  gpServiceKey key_;
  /// Longest time to wait for the answer.
  gpMillis wait_{ 0 };
};

/// A caller closed its connection before it was answered.
struct gpCallerDisconnected
{
  gpRequestId request_;
};

/// A link to another process was established.
struct gpLinkOpened
{
  gpLinkId link_;
  gpPeer peer_;
  /// Set if this process dialed the link.
  std::optional<gpAddress> dialed_;
};

/// A link was closed.
struct gpLinkLost
{
  gpLinkId link_;
  gpErrorCode reason_ = gpErrorCode::LinkClosed;
};

/// A connection attempt to an address of gpWatchAddress failed.
struct gpDialFailed
{
  gpAddress address_;
  gpErrorCode reason_ = gpErrorCode::ConnectRefused;
};

/// A message arrived on a link.
struct gpMessageReceived
{
  gpLinkId link_;
  gpMessage message_;
};

/// Another version of the configuration has taken effect.
struct gpConfigurationChanged
{
  gpVersionedConfiguration configuration_;
};

/// Another epoch of the roster has taken effect.
struct gpRosterChanged
{
  gpRoster roster_;
  /// False if this process has missed epochs between the previous roster and
  /// this one.
  bool contiguous_ = true;
};

/// The log service answered a read of the roster.
struct gpLogContacted
{};

/// The time requested with gpWakeAt has been reached.
struct gpTimePassed
{};

/// The process was asked to end gracefully.
struct gpShutdownRequested
{};

/// The target announced itself, for the first time or again.
struct gpTargetAnnounced
{
  gpServiceName service_;
  gpAddress address_;
  std::uint32_t slots_ = 1;
};

/// The target asks to receive no more tasks, because it is about to stop.
struct gpTargetLeft
{};

/// A call to the target has ended.
struct gpTargetReplied
{
  gpAttemptId attempt_;
  /// False only if it's certain that no byte of the request was sent.
  bool sent_ = false;
  /// Not set if the target sent no complete response.
  std::optional<gpTaskResult> response_;
  gpMicros runTime_{ 0 };
};

/** \class gpEntryEvent
 * \brief One event of an entry.
 */
struct gpEntryEvent
{
  gpTime now_;
  std::variant<gpJobSubmitted,
               gpJobQueried,
               gpCallerDisconnected,
               gpLinkOpened,
               gpLinkLost,
               gpDialFailed,
               gpMessageReceived,
               gpConfigurationChanged,
               gpRosterChanged,
               gpTimePassed,
               gpShutdownRequested>
    input_;
};

/** \class gpGuardEvent
 * \brief One event of a guard.
 */
struct gpGuardEvent
{
  gpTime now_;
  std::variant<gpLinkOpened,
               gpLinkLost,
               gpDialFailed,
               gpMessageReceived,
               gpConfigurationChanged,
               gpRosterChanged,
               gpLogContacted,
               gpTimePassed,
               gpShutdownRequested,
               gpTargetAnnounced,
               gpTargetLeft,
               gpTargetReplied>
    input_;
};

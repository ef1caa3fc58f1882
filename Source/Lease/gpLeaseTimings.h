#pragma once

#include "gpTime.h"

/** \brief The bounds of the chain of leases: caller, entry, guard, target. See
 * docs/design/platform.md.
 */

/// Period of heartbeats on an idle link between entry and guard.
constexpr gpMillis kLinkHeartbeat{ 100 };
/// A link on which nothing was heard for so long is closed by either side;
/// three heartbeats may be lost.
constexpr gpMillis kLinkSilence{ 400 };
/// How far ahead a guard moves the end of its target's lease, with each of
/// several looks in this time. The target cuts it at one second, and its clock
/// may be 2 % slow.
constexpr gpMillis kLease{ 400 };
/// The most by which a lease outlives its end on our clock: 2 % of a second,
/// and the way of an order that was under way.
constexpr gpMillis kLeaseSlack{ 50 };
/// A run is at work at most so long after the order to stop it.
constexpr gpMillis kStopTime{ 50 };
/// A caller repeats a job whose answer was lost after so long at the earliest.
constexpr gpMillis kShortestResend{ 1300 };
/// After a link has been closed for silence, the other side has ended what
/// hangs on it: by its own silence and a stop, or by the lapse of the lease.
constexpr gpMillis kLinkLossBound = kLinkSilence + kLease + kLeaseSlack;

static_assert(kLinkLossBound < kShortestResend,
              "a repeated job must not meet its former self at work");
static_assert(kLinkSilence + kStopTime < kLinkLossBound,
              "a guard that lives has stopped the runs by then as well");
static_assert(kLinkSilence >= 3 * kLinkHeartbeat);

/// A process that was not scheduled for so long may hold messages from before
/// its peers gave it up; it closes its links before it looks at them.
constexpr gpMillis kLongestPause{ 300 };
static_assert(kLongestPause < kLinkSilence);

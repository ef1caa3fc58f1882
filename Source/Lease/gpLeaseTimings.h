#pragma once

#include "gpTime.h"

/** \brief Time bounds of the chain of leases: caller, entry, guard, target. See
 * docs/design/platform.md. */

/// Period of heartbeats on an idle link between an entry and a guard.
constexpr gpMillis kLinkHeartbeat{ 100 };
/// Either side closes a link on which it received nothing for so long.
/// Tolerates the loss of three heartbeats.
constexpr gpMillis kLinkSilence{ 400 };
/// With each poll, the guard sets the end of its target's lease to so long
/// after the present time; it polls several times within it. The target's clock
/// may be 2 % slow.
constexpr gpMillis kLease{ 400 };
/// Upper bound of how much later than on the guard's clock a lease ends: 2 % of
/// kLongestLease, and the network delay of an order in flight.
constexpr gpMillis kLeaseSlack{ 50 };
/// The target limits a lease to this time.
constexpr gpMillis kLongestLease{ 1000 };
/// A run ends at most so long after the order to stop it.
constexpr gpMillis kStopTime{ 50 };
/// A guard doesn't renew its target's lease while a stop has had no answer for
/// longer, so that the lease ends the run. The other runs there end with it, so
/// this is long enough for many tries. While the stops for a lost link have no
/// answer it doesn't renew the lease at all: kLinkLossBound leaves no time for
/// it, and the lease outlasts many tries.
constexpr gpMillis kStopPatience{ 400 };
/// So long after a guard has received the order to stop a run, the run has
/// ended, also if its target answers no stop.
constexpr gpMillis kStopBound = kStopPatience + kLease + kLeaseSlack;
/// A caller that lost its answer waits at least so long before it submits the
/// job again.
constexpr gpMillis kShortestResend{ 1300 };
/// A request to submit a job may arrive once more, at any entry, seconds after
/// it was answered. So long after the job's end at the latest.
constexpr gpMillis kLatestRepeat{ 10000 };
/// So long after an entry or a guard has closed a link for silence, all runs
/// that were ordered on the link have ended: the other side has detected the
/// silence as well and stopped them, or the target's lease has expired.
constexpr gpMillis kLinkLossBound = kLinkSilence + kLease + kLeaseSlack;

static_assert(kLinkLossBound < kShortestResend,
              "runs of an earlier submission must end before a resubmission");
static_assert(kLinkSilence + kStopTime < kLinkLossBound,
              "a running guard must have stopped the runs within the bound");
static_assert(kLinkSilence >= 3 * kLinkHeartbeat);

/// How long after a heartbeat of a target what it has told may be used. Covers
/// two heartbeat periods; the platform allows another period more.
constexpr gpMillis kHeartbeatLifetime{ 4000 };

/// A process that was not scheduled for so long may have unread messages from
/// before its peers closed their links for silence. It closes its own links
/// before it reads these messages.
constexpr gpMillis kLongestPause{ 300 };
static_assert(kLongestPause < kLinkSilence);
static_assert(kLongestPause + kStopBound < kShortestResend,
              "a job that was given up must have ended before a resubmission, "
              "also if its guard paused before it read the order to stop");
static_assert(kLongestPause + kLinkLossBound < kShortestResend,
              "likewise if the order was lost with its link");

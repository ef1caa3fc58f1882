#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "gpAnswer.h"
#include "gpIds.h"
#include "gpMember.h"
#include "gpMessage.h"
#include "gpTime.h"
#include "gpTimelineEvent.h"

/** \brief The actions that a reducer requests of its process. The process
 * carries them out in the order in which the reducer added them.
 *
 * Each kind of effect is a plain aggregate.
 */

/// Sends a message on a link.
struct gpSend
{
  gpLinkId link_;
  gpMessage message_;
};

/// Sends a caller the answer of its request.
struct gpAnswerCaller
{
  gpRequestId request_;
  gpAnswer answer_;
};

/// Connects to the address, and reconnects whenever the link is lost, until
/// gpUnwatchAddress.
struct gpWatchAddress
{
  gpAddress address_;
};

/// Stops reconnecting to an address of gpWatchAddress.
struct gpUnwatchAddress
{
  gpAddress address_;
};

/// Requests a gpTimePassed event at that time. Replaces the time that was
/// requested before.
struct gpWakeAt
{
  gpTime when_;
};

/// Writes one event to the event log.
struct gpWriteTimeline
{
  gpTimelineEvent event_;
};

/// Appends a join record to the roster stream, and retries until the log
/// service has stored it.
struct gpJoinRoster
{
  gpMember member_;
};

/// Appends a record to the roster stream that removes these guards.
struct gpRemoveMembers
{
  std::vector<gpIncarnation> guards_;
};

/// Calls the target; the reply comes back as gpTargetReplied.
struct gpCallTarget
{
  gpAttemptId attempt_;
  gpAddress target_;
  gpStart start_;
};

/// Closes the connection of a call to the target; no gpTargetReplied follows.
struct gpAbortCall
{
  gpAttemptId attempt_;
};

/// Informs the target that asked to leave that it has no more tasks in flight.
struct gpReleaseTarget
{};

/// Ends the process; all its work is done or failed.
struct gpStop
{};

using gpEffect = std::variant<gpSend,
                              gpAnswerCaller,
                              gpWatchAddress,
                              gpUnwatchAddress,
                              gpWakeAt,
                              gpWriteTimeline,
                              gpJoinRoster,
                              gpRemoveMembers,
                              gpCallTarget,
                              gpAbortCall,
                              gpReleaseTarget,
                              gpStop>;

/** \class gpEffects
 * \brief Collects the effects of one event in the order in which they are
 * added.
 */
class gpEffects
{
public:
  void Add(gpEffect aEffect) { effects_.push_back(std::move(aEffect)); }
  void Send(gpLinkId aLink, gpMessage aMessage)
  {
    Add(gpSend{ aLink, std::move(aMessage) });
  }
  void Write(gpTimelineEvent aEvent)
  {
    Add(gpWriteTimeline{ std::move(aEvent) });
  }
  std::vector<gpEffect> Take() { return std::exchange(effects_, {}); }

private:
  std::vector<gpEffect> effects_;
};

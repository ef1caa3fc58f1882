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

/** \brief What a reducer asks its process to do. Plain data; the process
 * carries the effects out in their order.
 *
 * A family of plain aggregates shares this file.
 */

/// Sends a message on a link.
struct gpSend
{
  gpLinkId link_;
  gpMessage message_;
};

/// Gives a caller its answer.
struct gpAnswerCaller
{
  gpRequestId request_;
  gpAnswer answer_;
};

/// Keeps a link to the address open from now on.
struct gpWatchAddress
{
  gpAddress address_;
};

/// Ends gpWatchAddress.
struct gpUnwatchAddress
{
  gpAddress address_;
};

/// Reduces gpTimePassed at that time; replaces the time asked for before.
struct gpWakeAt
{
  gpTime when_;
};

/// Writes one line of the time line.
struct gpWriteTimeline
{
  gpTimelineEvent event_;
};

/// Appends a join record to the roster stream until it's in the log.
struct gpJoinRoster
{
  gpMember member_;
};

/// Appends a remove record to the roster stream.
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

/// Closes the connection of a call; no gpTargetReplied follows.
struct gpAbortCall
{
  gpAttemptId attempt_;
};

/// The target that asked to leave has no more work in flight.
struct gpReleaseTarget
{};

/// The process has nothing left to do and may end.
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
 * \brief Collects the effects of one event in their order.
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

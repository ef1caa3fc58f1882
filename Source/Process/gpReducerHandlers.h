#pragma once

#include <optional>
#include <utility>

#include "gpEvent.h"
#include "gpProcess.h"

/** \brief Makes the handlers that convert link and log events of a process into
 * events of its reducer.
 *
 * aOnEvent is called with each event that entries and guards have in common,
 * possibly already before gpProcess::Open. The caller must set the HTTP
 * handlers itself, and a handler that makes gpLogContacted if it's needed.
 */
template<typename EventHandler>
gpProcess::Handlers
gpMakeReducerHandlers(gpProcess& aProcess, EventHandler aOnEvent)
{
  gpProcess::Handlers handlers;
  handlers.links_.up_ =
    [&aProcess, aOnEvent](
      gpLinkId aLink, const gpPeer& aPeer, std::optional<gpAddress> aDialed) {
      aProcess.NoteLinkOpened(aLink, aPeer);
      aOnEvent(gpLinkOpened{ aLink, aPeer, std::move(aDialed) });
    };
  handlers.links_.down_ = [&aProcess, aOnEvent](gpLinkId aLink,
                                                gpErrorCode aReason) {
    aProcess.NoteLinkLost(aLink, aReason);
    aOnEvent(gpLinkLost{ aLink, aReason });
  };
  handlers.links_.message_ = [&aProcess, aOnEvent](gpLinkId aLink,
                                                   gpMessage aMessage) {
    if (!aProcess.HandleUpdate(aLink, aMessage)) {
      aOnEvent(gpMessageReceived{ aLink, std::move(aMessage) });
    }
  };
  handlers.links_.dialFailed_ = [aOnEvent](const gpAddress& aAddress,
                                           gpErrorCode aReason) {
    aOnEvent(gpDialFailed{ aAddress, aReason });
  };
  handlers.streams_.configuration_ =
    [aOnEvent](const gpVersionedConfiguration& aConfiguration) {
      aOnEvent(gpConfigurationChanged{ aConfiguration });
    };
  handlers.streams_.rejected_ =
    [&aProcess](const gpConfigurationEvent& aEvent) {
      aProcess.NoteRejected(aEvent);
    };
  handlers.streams_.roster_ = [aOnEvent](const gpRoster& aRoster,
                                         bool aContiguous) {
    aOnEvent(gpRosterChanged{ aRoster, aContiguous });
  };
  handlers.streams_.contact_ = [] {};
  handlers.streams_.health_ = [&aProcess](const absl::Status& aStatus) {
    aProcess.NoteLogHealth(aStatus);
  };
  return handlers;
}

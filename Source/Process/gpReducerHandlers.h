#pragma once

#include <optional>
#include <utility>

#include "gpEvent.h"
#include "gpProcess.h"

/** \brief Handlers that turn what happens to a process into events.
 *
 * aGive is called with each event that entries and guards have in common; it
 * may be given events before the process has been opened. The HTTP handlers
 * and gpLogContacted are left to the caller.
 */
template<typename Give>
gpProcess::Handlers
gpMakeReducerHandlers(gpProcess& aProcess, Give aGive)
{
  gpProcess::Handlers handlers;
  handlers.links_.up_ = [&aProcess, aGive](gpLinkId aLink,
                                           const gpPeer& aPeer,
                                           std::optional<gpAddress> aDialed) {
    aProcess.NoteLinkOpened(aLink, aPeer);
    aGive(gpLinkOpened{ aLink, aPeer, std::move(aDialed) });
  };
  handlers.links_.down_ = [&aProcess, aGive](gpLinkId aLink,
                                             gpErrorCode aReason) {
    aProcess.NoteLinkLost(aLink, aReason);
    aGive(gpLinkLost{ aLink, aReason });
  };
  handlers.links_.message_ = [&aProcess, aGive](gpLinkId aLink,
                                                gpMessage aMessage) {
    if (!aProcess.HandleNews(aLink, aMessage)) {
      aGive(gpMessageReceived{ aLink, std::move(aMessage) });
    }
  };
  handlers.links_.dialFailed_ = [aGive](const gpAddress& aAddress,
                                        gpErrorCode aReason) {
    aGive(gpDialFailed{ aAddress, aReason });
  };
  handlers.streams_.configuration_ =
    [aGive](const gpVersionedConfiguration& aConfiguration) {
      aGive(gpConfigurationChanged{ aConfiguration });
    };
  handlers.streams_.rejected_ =
    [&aProcess](const gpConfigurationEvent& aEvent) {
      aProcess.NoteRejected(aEvent);
    };
  handlers.streams_.roster_ = [aGive](const gpRoster& aRoster,
                                      bool aContiguous) {
    aGive(gpRosterChanged{ aRoster, aContiguous });
  };
  handlers.streams_.contact_ = [] {};
  handlers.streams_.health_ = [&aProcess](const absl::Status& aStatus) {
    aProcess.NoteLogHealth(aStatus);
  };
  return handlers;
}

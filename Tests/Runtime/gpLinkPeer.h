#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gpEventLoop.h"
#include "gpLamportClock.h"
#include "gpLinkService.h"
#include "gpTimerService.h"

/** \class gpLinkPeer
 * \brief A link service that records all calls of its handlers.
 */
class gpLinkPeer
{
public:
  struct Up
  {
    gpLinkId link_;
    gpPeer peer_;
    std::optional<gpAddress> dialed_;
  };
  struct Down
  {
    gpLinkId link_;
    gpErrorCode code_ = gpErrorCode::None;
  };

  gpLinkPeer(gpEventLoop& aLoop,
             std::uint64_t aIncarnation,
             gpLinkSettings aSettings = {});

  /// Listens on a free port.
  gpAddress Listen();

  gpEventLoop& loop_;
  gpTimerService timers_;
  gpLamportClock clock_;
  gpPeer self_;
  std::vector<Up> ups_;
  std::vector<Down> downs_;
  std::vector<std::pair<gpLinkId, gpMessage>> messages_;
  std::vector<std::pair<gpAddress, gpErrorCode>> dialFailures_;
  gpLinkService service_;
};

/// A message that gpMessageNumber can identify.
gpMessage
gpNumberedMessage(std::uint32_t aNumber);

/// The number of a message that gpNumberedMessage has made.
std::uint32_t
gpMessageNumber(const gpMessage& aMessage);

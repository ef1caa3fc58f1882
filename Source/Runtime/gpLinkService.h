#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <absl/status/statusor.h>

#include "gpError.h"
#include "gpIds.h"
#include "gpMessage.h"
#include "gpPeer.h"
#include "gpTime.h"

class gpEventLoop;
class gpLamportClock;
class gpTimerService;

/** \class gpLinkSettings
 * \brief Bounds and times of all links of a process.
 */
struct gpLinkSettings
{
  std::size_t frameBytes_ = 64U << 20U;
  /// Bytes waiting to be sent on one link; over it the link is closed
  /// (SendBufferFull).
  std::size_t sendBytes_ = 256U << 20U;
  /// An empty frame is sent on a link that has been idle for so long.
  gpMillis heartbeat_{ 1000 };
  /// A link on which nothing is heard for so long is closed (LinkSilent).
  gpMillis silence_{ 3000 };
  /// Longest time to connect, and then again to shake hands.
  gpMillis connectTimeout_{ 1000 };
  /// Pause between two attempts to reach a watched address.
  gpMillis redial_{ 200 };
};

/** \class gpLinkCounts
 * \brief Traffic of all links since the start.
 */
struct gpLinkCounts
{
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
  std::uint64_t messagesSent_ = 0;
  std::uint64_t messagesReceived_ = 0;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
};

/** \class gpLinkService
 * \brief Links to other processes of the system: TCP, framed FlatBuffers.
 *
 * Messages on a link arrive in order and once. The handshake exchanges
 * gpPeer, and ties the link to a nonce of each side, so that bytes replayed
 * from another connection are refused (ReplayedLink); frames carry a sequence
 * number, so that bytes sent twice are refused (FrameOutOfOrder). A link that
 * breaks a rule is closed; nothing else is affected. Messages that are sent
 * during one turn of the loop travel in one frame, or in several if they make
 * more than about 1 MiB. No handler is called from inside a method. The
 * service may not be destroyed inside a handler.
 *
 * An incarnation that links again has given up the link that it dialed before:
 * the accepting side reports that one down (LinkClosed), then the new one up.
 */
class gpLinkService
{
public:
  struct Handlers
  {
    /// A link is open. The address is set if this side dialed it.
    std::function<void(gpLinkId, const gpPeer&, std::optional<gpAddress>)> up_;
    /// A link that was up is closed.
    std::function<void(gpLinkId, gpErrorCode)> down_;
    std::function<void(gpLinkId, gpMessage)> message_;
    /// An attempt to reach a watched address failed.
    std::function<void(const gpAddress&, gpErrorCode)> dialFailed_;
    /// The other side broke a rule of the protocol; its connection is closed.
    /// May be left out.
    std::function<void(gpErrorCode)> badInput_{};
  };

  gpLinkService(gpEventLoop& aLoop,
                gpTimerService& aTimers,
                gpLamportClock& aClock,
                gpLinkSettings aSettings,
                Handlers aHandlers);
  ~gpLinkService();
  gpLinkService(const gpLinkService&) = delete;
  gpLinkService& operator=(const gpLinkService&) = delete;

  /// Listens; port 0 takes a free one. Returns the address in use.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Who this process is, told in each handshake. Call before any link opens.
  void SetSelf(gpPeer aSelf);
  /// Keeps a link to the address open: dials, and dials again when it closes.
  void Watch(const gpAddress& aAddress);
  /// Ends a Watch and closes its link; the down handler isn't called for it.
  void Unwatch(const gpAddress& aAddress);
  /// Sends a message; ignored if the link is closed.
  void Send(gpLinkId aLink, gpMessage aMessage);
  /// Closes a link; the down handler isn't called for it.
  void Close(gpLinkId aLink);
  /// Calls the handler when all that was sent has been handed to the system.
  void Flush(std::function<void()> aFlushed);
  gpLinkCounts GetCounts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

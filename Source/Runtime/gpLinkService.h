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
 * \brief Limits and timeouts of all links of a process.
 */
struct gpLinkSettings
{
  /// Largest frame. A link on which a larger one is received or would have to
  /// be sent is closed (FrameTooLarge).
  std::size_t frameBytes_ = 64U << 20U;
  /// Most bytes that may be queued to be sent on one link; over it the link is
  /// closed (SendBufferFull).
  std::size_t sendBytes_ = 256U << 20U;
  /// Most bytes of frames that all links together hold until they are sent, or
  /// received completely. Over it the link with the most is closed
  /// (LinkMemoryFull).
  std::size_t memoryBytes_ = 512U << 20U;
  /// Accepted connections whose handshake is in progress. A further one takes
  /// the place of the one that was accepted first.
  std::size_t handshakes_ = 128;
  /// Accepted links that are up. Further ones are closed.
  std::size_t acceptedLinks_ = 1024;
  /// An empty frame is sent on a link on which nothing has been sent for this
  /// long.
  gpMillis heartbeat_{ 1000 };
  /// A link on which nothing has been received for this long is closed
  /// (LinkSilent).
  gpMillis silence_{ 3000 };
  /// Timeout for connecting, and again for the handshake after it.
  gpMillis connectTimeout_{ 1000 };
  /// Delay before the next attempt to connect to a watched address.
  gpMillis redial_{ 200 };
};

/// A limit on all links together that has been reached.
enum class gpLinkLimitKind
{
  Handshakes,    ///< gpLinkSettings::handshakes_
  AcceptedLinks, ///< gpLinkSettings::acceptedLinks_
  Memory,        ///< gpLinkSettings::memoryBytes_
};

/** \class gpLinkCounts
 * \brief Traffic of all links since the service was created.
 */
struct gpLinkCounts
{
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
  std::uint64_t messagesSent_ = 0;
  std::uint64_t messagesReceived_ = 0;
  /// With the length prefixes of frames, but without TCP/IP headers.
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
};

/** \class gpLinkService
 * \brief Links to other processes of the system: TCP connections that carry
 * messages in frames, encoded with FlatBuffers.
 *
 * Messages on a link arrive in order and at most once. The handshake exchanges
 * the gpPeer of both sides, and binds the link to a nonce of each side, so that
 * bytes replayed from another connection are rejected (ReplayedLink). Frames
 * carry a sequence number, so that bytes replayed on the same connection are
 * rejected (FrameOutOfOrder). A link on which the peer violates the protocol is
 * closed; other links are not affected. Messages that are sent during one
 * iteration of the loop are sent in one frame, or in several if they take more
 * than about 1 MiB. No handler is called from inside a method. The service must
 * not be destroyed inside a handler.
 *
 * If an incarnation that has a link to this process dials a new one, the
 * earlier link is closed: the accepting side first reports the earlier link
 * down (LinkClosed), then the new one up.
 */
class gpLinkService
{
public:
  struct Handlers
  {
    /// The handshake of a link has succeeded. The address is the watched one if
    /// this side dialed the link, else not set.
    std::function<void(gpLinkId, const gpPeer&, std::optional<gpAddress>)> up_;
    /// A link that was up has been closed, for this reason.
    std::function<void(gpLinkId, gpErrorCode)> down_;
    /// A message has been received.
    std::function<void(gpLinkId, gpMessage)> message_;
    /// Connecting to a watched address, or the handshake with it, failed. The
    /// next attempt follows by itself.
    std::function<void(const gpAddress&, gpErrorCode)> dialFailed_;
    /// The peer violated the protocol; its connection is closed. May be empty.
    std::function<void(gpErrorCode)> badInput_{};
    /// A connection was closed because of a limit on all links together. May be
    /// empty.
    std::function<void(gpLinkLimitKind)> limitReached_{};
  };

  gpLinkService(gpEventLoop& aLoop,
                gpTimerService& aTimers,
                gpLamportClock& aClock,
                gpLinkSettings aSettings,
                Handlers aHandlers);
  ~gpLinkService();
  gpLinkService(const gpLinkService&) = delete;
  gpLinkService& operator=(const gpLinkService&) = delete;

  /// Starts to accept links; port 0 selects a free port. Returns the address in
  /// use; fails with BadArgument (not an address) or Io.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Sets the identity of this process, which each handshake sends. Must be
  /// called before the first link opens.
  void SetSelf(gpPeer aSelf);
  /// Keeps a link to the address open: connects to it, and reconnects whenever
  /// the link closes. Ignored if the address is watched already.
  void Watch(const gpAddress& aAddress);
  /// Stops watching an address and closes its link; the down_ handler isn't
  /// called for it.
  void Unwatch(const gpAddress& aAddress);
  /// Queues a message; ignored if the link is closed.
  void Send(gpLinkId aLink, gpMessage aMessage);
  /// Closes a link; the down_ handler isn't called for it. If its address is
  /// watched, a new link is dialed.
  void Close(gpLinkId aLink);
  /// Calls the handler when all messages that have been sent so far are passed
  /// to the operating system or their links are closed.
  void Flush(std::function<void()> aFlushed);
  gpLinkCounts GetCounts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

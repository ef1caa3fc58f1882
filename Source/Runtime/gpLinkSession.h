#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "gpLinkConnection.h"
#include "gpLinkService.h"
#include "gpTimerService.h"

struct gpFrame;
struct gpHello;
class gpLinkSession;

/** \class gpLinkObserver
 * \brief Receives the events of link sessions; implemented by gpLinkService.
 */
class gpLinkObserver
{
public:
  /// The handshake has succeeded.
  virtual void OnLinkUp(gpLinkSession& aSession) = 0;
  virtual void OnLinkMessage(gpLinkSession& aSession, gpMessage aMessage) = 0;
  /// Bytes have been passed to the operating system.
  virtual void OnLinkWritten(gpLinkSession& aSession) = 0;
  /// The link's connection buffers more bytes than before, or fewer.
  virtual void OnLinkBuffered(gpLinkSession& aSession) = 0;
  /// The link has failed, for this reason. No other call follows for the
  /// session. Not called after gpLinkSession::Close.
  virtual void OnLinkClosed(gpLinkSession& aSession, gpErrorCode aCode) = 0;

protected:
  ~gpLinkObserver() = default;
};

/** \class gpLinkContext
 * \brief State that all links of a process share.
 */
struct gpLinkContext
{
  gpEventLoop& loop_;
  gpTimerService& timers_;
  gpLamportClock& clock_;
  gpLinkSettings settings_;
  /// The identity of this process, which each handshake sends.
  gpPeer self_;
  gpLinkCounts counts_;
};

/** \class gpLinkSession
 * \brief A link: its handshake, frames, heartbeats and timeouts.
 *
 * Internal to this folder.
 */
class gpLinkSession : public std::enable_shared_from_this<gpLinkSession>
{
public:
  /// aDialed is the watched address if this side dialed the link, else not set.
  gpLinkSession(gpLinkId aId,
                std::optional<gpAddress> aDialed,
                gpLinkContext& aContext,
                gpLinkObserver& aObserver);

  /// Begins the handshake on a connected socket.
  void Start(boost::asio::ip::tcp::socket aSocket);
  /// Queues a message for SendQueued. Returns true if the queue was empty.
  bool Queue(gpMessage aMessage);
  /// Sends the queued messages in as few frames as the size limits allow.
  void SendQueued();
  /// Closes the link; the observer isn't called for it, nor afterwards.
  void Close();
  /// Closes the link for this reason, and tells the observer.
  void Fail(gpErrorCode aCode);

  gpLinkId GetId() const { return id_; }
  const std::optional<gpAddress>& GetDialed() const { return dialed_; }
  const gpPeer& GetPeer() const { return peer_; }
  bool IsUp() const { return state_ == State::Up; }
  /// True if the link is up or was so before it closed.
  bool WasUp() const { return wasUp_; }
  const gpLinkConnection& GetConnection() const { return *connection_; }

private:
  enum class State
  {
    Handshake,
    Up,
    Closed,
  };

  gpLinkConnection::Handlers MakeHandlers();
  void SendHello(std::uint64_t aEcho);
  void OnPayload(std::string_view aBytes);
  void OnHello(std::string_view aBytes);
  gpErrorCode CheckHello(const gpHello& aHello) const;
  void OnFrame(std::string_view aBytes);
  gpErrorCode CheckFrame(const gpFrame& aFrame) const;
  /// Sends a frame with the first of the messages; returns how many it took.
  /// Without messages the frame is a heartbeat.
  std::size_t SendFrame(std::span<const gpMessage> aMessages);
  /// Sets the timer of the session; replaces an earlier setting.
  void Arm(gpTime aWhen);
  void OnTimer();
  void OnHeartbeatTimer(gpTime aNow);

  gpLinkId id_;
  std::optional<gpAddress> dialed_;
  gpLinkContext& context_;
  gpLinkObserver& observer_;
  std::shared_ptr<gpLinkConnection> connection_;
  State state_ = State::Handshake;
  bool wasUp_ = false;
  gpPeer peer_;
  std::uint64_t nonce_;
  /// XOR of the nonces of both sides; sent in each frame, see
  /// gpFrameHeader::link_.
  std::uint64_t linkNumber_ = 0;
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
  /// Messages for the next SendQueued.
  std::vector<gpMessage> queue_;
  /// When the last frame was sent, or when the heartbeat timer last found bytes
  /// of earlier frames still queued.
  gpTime lastSent_;
  gpTimerId timer_;
  /// The silence timeout has passed; the grace time for reading bytes that have
  /// already arrived is running.
  bool inReadGrace_ = false;
};

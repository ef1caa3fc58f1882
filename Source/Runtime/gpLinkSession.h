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
 * \brief Is told what happens on the links.
 */
class gpLinkObserver
{
public:
  virtual void OnLinkUp(gpLinkSession& aSession) = 0;
  virtual void OnLinkMessage(gpLinkSession& aSession, gpMessage aMessage) = 0;
  virtual void OnLinkWritten(gpLinkSession& aSession) = 0;
  /// The last call for a session; not made after gpLinkSession::Close.
  virtual void OnLinkClosed(gpLinkSession& aSession, gpErrorCode aCode) = 0;

protected:
  ~gpLinkObserver() = default;
};

/** \class gpLinkContext
 * \brief What all links of a process share.
 */
struct gpLinkContext
{
  gpEventLoop& loop_;
  gpTimerService& timers_;
  gpLamportClock& clock_;
  gpLinkSettings settings_;
  gpPeer self_;
  gpLinkCounts counts_;
};

/** \class gpLinkSession
 * \brief One link: its handshake, its frames and its heartbeat.
 *
 * For .cxx files of this folder.
 */
class gpLinkSession : public std::enable_shared_from_this<gpLinkSession>
{
public:
  /// The address is set on the side that dialed.
  gpLinkSession(gpLinkId aId,
                std::optional<gpAddress> aDialed,
                gpLinkContext& aContext,
                gpLinkObserver& aObserver);

  /// Begins the handshake on a connected socket.
  void Start(boost::asio::ip::tcp::socket aSocket);
  /// Keeps a message for SendOutbox. True if it's the first one kept.
  bool Queue(gpMessage aMessage);
  /// Sends the kept messages in as few frames as the size limit allows.
  void SendOutbox();
  /// Closes the link; the observer isn't called any more.
  void Close();

  gpLinkId GetId() const { return id_; }
  const std::optional<gpAddress>& GetDialed() const { return dialed_; }
  const gpPeer& GetPeer() const { return peer_; }
  bool IsUp() const { return state_ == State::Up; }
  /// True if the link was up before it closed.
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
  /// Sends a frame with the first messages; returns how many.
  std::size_t SendFrame(std::span<const gpMessage> aMessages);
  void Arm(gpTime aWhen);
  void OnTimer();
  void OnHeartbeatTimer(gpTime aNow);
  void Fail(gpErrorCode aCode);

  gpLinkId id_;
  std::optional<gpAddress> dialed_;
  gpLinkContext& context_;
  gpLinkObserver& observer_;
  std::shared_ptr<gpLinkConnection> connection_;
  State state_ = State::Handshake;
  bool wasUp_ = false;
  gpPeer peer_;
  std::uint64_t nonce_;
  /// Made of both nonces; see gpFrameHeader.
  std::uint64_t link_ = 0;
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
  std::vector<gpMessage> outbox_;
  gpTime lastSent_;
  gpTimerId timer_;
  /// The silence timeout has passed; what is already here may still be read.
  bool suspected_ = false;
};

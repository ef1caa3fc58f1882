#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "gpLinkSession.h"

/** \class gpLinkDialer
 * \brief Connects to one address, and retries until it is stopped.
 *
 * Internal to this folder.
 */
class gpLinkDialer : public std::enable_shared_from_this<gpLinkDialer>
{
public:
  struct Handlers
  {
    /// The connection is established. The dialer is idle until the next call of
    /// Dial or RedialAfterDelay.
    std::function<void(boost::asio::ip::tcp::socket)> connected_;
    /// An attempt failed; the next one has already been scheduled.
    std::function<void(gpErrorCode)> failed_;
  };

  gpLinkDialer(gpLinkContext& aContext, gpAddress aAddress, Handlers aHandlers);

  /// Starts an attempt now. No handler is called from inside this call.
  void Dial();
  /// Starts an attempt after the delay of gpLinkSettings::redial_.
  void RedialAfterDelay();
  /// Abandons the attempt in progress and schedules no more.
  void Stop();

private:
  void Connect(const boost::asio::ip::tcp::endpoint& aEndpoint);
  void OnConnected(const boost::system::error_code& aError);
  void SetTimer(gpMillis aDelay, void (gpLinkDialer::*aHandler)());
  void OnTimeout() { Fail(gpErrorCode::ConnectTimeout); }
  void OnBadAddress() { Fail(gpErrorCode::BadArgument); }
  void Fail(gpErrorCode aCode);

  gpLinkContext& context_;
  gpAddress address_;
  Handlers handlers_;
  /// The attempt in progress, if there is one.
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
  gpTimerId timer_;
};

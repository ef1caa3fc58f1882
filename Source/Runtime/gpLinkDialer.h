#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "gpLinkSession.h"

/** \class gpLinkDialer
 * \brief Connects to one address, again and again until it's stopped.
 *
 * For .cxx files of this folder.
 */
class gpLinkDialer : public std::enable_shared_from_this<gpLinkDialer>
{
public:
  struct Handlers
  {
    /// Connected. The dialer rests until the next RedialLater.
    std::function<void(boost::asio::ip::tcp::socket)> connected_;
    /// An attempt failed; the next one is already due.
    std::function<void(gpErrorCode)> failed_;
  };

  gpLinkDialer(gpLinkContext& aContext, gpAddress aAddress, Handlers aHandlers);

  /// Tries at once. No handler is called during the call.
  void Dial();
  /// Tries after the pause of the settings.
  void RedialLater();
  /// Ends all attempts.
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

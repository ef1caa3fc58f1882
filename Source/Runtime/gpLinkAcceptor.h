#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include "gpLinkSession.h"

/** \class gpLinkAcceptor
 * \brief Accepts connections at one address until it's stopped.
 *
 * For .cxx files of this folder.
 */
class gpLinkAcceptor : public std::enable_shared_from_this<gpLinkAcceptor>
{
public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  gpLinkAcceptor(gpLinkContext& aContext, Handler aAccepted);

  /// Returns the address in use; BadArgument or Io.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  void Stop();

private:
  void Accept();
  void AcceptLater();

  gpLinkContext& context_;
  Handler accepted_;
  boost::asio::ip::tcp::acceptor acceptor_;
  gpTimerId timer_;
};

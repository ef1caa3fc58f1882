#pragma once

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include "gpLinkSession.h"

/** \class gpLinkAcceptor
 * \brief Accepts connections on one address until it is stopped.
 *
 * Internal to this folder.
 */
class gpLinkAcceptor : public std::enable_shared_from_this<gpLinkAcceptor>
{
public:
  /// Receives each accepted connection.
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  gpLinkAcceptor(gpLinkContext& aContext, Handler aAccepted);

  /// Starts to listen; port 0 selects a free port. Returns the address in use;
  /// fails with BadArgument (not an address) or Io.
  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  /// Closes the listening socket; accepted connections stay open.
  void Stop();

private:
  void Accept();
  void AcceptAfterDelay();

  gpLinkContext& context_;
  Handler accepted_;
  boost::asio::ip::tcp::acceptor acceptor_;
  gpTimerId timer_;
};

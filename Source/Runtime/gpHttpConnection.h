#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gpHttpClient.h"
#include "gpHttpMessage.h"

/** \class gpHttpConnection
 * \brief One connection of the client to a server, for one call at a time.
 */
class gpHttpConnection
{
public:
  /// Gets the result, and whether the connection can serve another call.
  using Handler = std::function<void(gpHttpReply, bool)>;

  gpHttpConnection(boost::asio::io_context& aIo,
                   const boost::asio::ip::tcp::endpoint& aServer);
  ~gpHttpConnection();
  gpHttpConnection(const gpHttpConnection&) = delete;
  gpHttpConnection& operator=(const gpHttpConnection&) = delete;

  /// Connects if that hasn't been done, sends the request and reads the
  /// answer. The handler is called later, unless Close is called before.
  void Exchange(std::shared_ptr<const gpHttpRequest> aRequest,
                Handler aHandler);
  /// Closes; the handler of a running exchange isn't called.
  void Close();
  /// False if the server has closed a kept connection.
  bool IsUsable();
  /// Whether bytes of the running exchange may have been sent.
  bool HasSent() const;
  /// Time since the running exchange began to send; 0 before that.
  gpMicros GetElapsed() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

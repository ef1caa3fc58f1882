#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gpHttpClient.h"
#include "gpHttpMessage.h"

/** \class gpHttpConnection
 * \brief A connection of the HTTP client to a server; carries one call at a
 * time.
 */
class gpHttpConnection
{
public:
  /// Receives the result, and whether the connection can be used for another
  /// call.
  using Handler = std::function<void(gpHttpReply, bool)>;

  gpHttpConnection(boost::asio::io_context& aIo,
                   const boost::asio::ip::tcp::endpoint& aServer);
  ~gpHttpConnection();
  gpHttpConnection(const gpHttpConnection&) = delete;
  gpHttpConnection& operator=(const gpHttpConnection&) = delete;

  /// Connects if needed, sends the request and reads the response. The handler
  /// is called once, later, unless Close is called before. No other exchange
  /// may be running.
  void Exchange(std::shared_ptr<const gpHttpRequest> aRequest,
                Handler aHandler);
  /// Closes the connection; the handler of a running exchange isn't called.
  void Close();
  /// For an idle connection: false if the server has closed it or has sent
  /// bytes that belong to no request.
  bool IsUsable();
  /// Whether bytes of the request of the running exchange may have been sent.
  bool HasSent() const;
  /// Time since the running exchange began to send its request; 0 before that.
  gpMicros GetElapsed() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gpHttpClient.h"
#include "gpHttpMessage.h"
#include "gpTime.h"

class gpHttpConnection;

/** \class gpHttpCall
 * \brief One call that a pool carries out.
 */
struct gpHttpCall
{
  std::shared_ptr<const gpHttpRequest> request_;
  std::function<void(gpHttpReply)> done_;
  /// The connection that serves the call; null while it waits for one.
  std::shared_ptr<gpHttpConnection> connection_;
  /// Whether the connection had served another call before.
  bool onKeptConnection_ = false;
  /// Where the call stands in the queue while it has no connection.
  std::list<std::shared_ptr<gpHttpCall>>::iterator place_;
};

/** \class gpHttpConnectionPool
 * \brief The connections to one server, and the calls that wait for one.
 *
 * Waiting calls are served in the order in which they came.
 */
class gpHttpConnectionPool
  : public std::enable_shared_from_this<gpHttpConnectionPool>
{
public:
  gpHttpConnectionPool(boost::asio::io_context& aIo,
                       const boost::asio::ip::tcp::endpoint& aServer,
                       std::size_t aConnections);
  ~gpHttpConnectionPool();
  gpHttpConnectionPool(const gpHttpConnectionPool&) = delete;
  gpHttpConnectionPool& operator=(const gpHttpConnectionPool&) = delete;

  /// Calls aCall's done_ once, later, unless the call is withdrawn before.
  void Submit(const std::shared_ptr<gpHttpCall>& aCall);
  /// Ends a call; the connection that serves it is closed.
  void Withdraw(const std::shared_ptr<gpHttpCall>& aCall);

private:
  struct KeptConnection
  {
    std::shared_ptr<gpHttpConnection> connection_;
    gpTime since_;
  };

  void Serve();
  bool Assign(gpHttpCall& aCall);
  void Begin(const std::shared_ptr<gpHttpCall>& aCall);
  void OnDone(const std::shared_ptr<gpHttpCall>& aCall,
              gpHttpReply aReply,
              bool aIsReusable);
  void Keep(std::shared_ptr<gpHttpConnection> aConnection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::size_t limit_;
  /// Connections that exist, kept ones included.
  std::size_t open_ = 0;
  /// Connections without a call, the one used last at the end.
  std::vector<KeptConnection> kept_;
  std::list<std::shared_ptr<gpHttpCall>> waiting_;
};

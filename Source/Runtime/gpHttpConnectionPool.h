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
 * \brief A call that is queued or running in a gpHttpConnectionPool.
 */
struct gpHttpCall
{
  std::shared_ptr<const gpHttpRequest> request_;
  /// Receives the result of the call.
  std::function<void(gpHttpReply)> onDone_;
  /// The connection that carries the call; null while the call is queued.
  std::shared_ptr<gpHttpConnection> connection_;
  /// Whether the connection has carried another call before.
  bool onReusedConnection_ = false;
  /// Position of the call in the queue; valid while it has no connection.
  std::list<std::shared_ptr<gpHttpCall>>::iterator queuePosition_;
};

/** \class gpHttpConnectionPool
 * \brief The persistent connections to one server, and the queue of calls that
 * wait for one.
 *
 * Queued calls get connections in the order of their submission.
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

  /// Queues a call. Its onDone_ is called once, later, unless the call is
  /// cancelled before.
  void Submit(const std::shared_ptr<gpHttpCall>& aCall);
  /// Removes a call without calling its onDone_, and closes the connection that
  /// carries it.
  void Cancel(const std::shared_ptr<gpHttpCall>& aCall);

private:
  struct IdleConnection
  {
    std::shared_ptr<gpHttpConnection> connection_;
    gpTime idleSince_;
  };

  /// Starts queued calls while connections are available.
  void StartQueuedCalls();
  /// Gives the call an idle or a new connection; false if there is none.
  bool AssignConnection(gpHttpCall& aCall);
  void Start(const std::shared_ptr<gpHttpCall>& aCall);
  void OnDone(const std::shared_ptr<gpHttpCall>& aCall,
              gpHttpReply aReply,
              bool aIsReusable);
  /// Adds a connection to the idle ones, and drops the one that has been idle
  /// longest if it is too old.
  void KeepIdle(std::shared_ptr<gpHttpConnection> aConnection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::size_t maxConnections_;
  /// Number of open connections, including idle ones.
  std::size_t connectionCount_ = 0;
  /// Connections without a call, the most recently used one at the end.
  std::vector<IdleConnection> idle_;
  std::list<std::shared_ptr<gpHttpCall>> queue_;
};

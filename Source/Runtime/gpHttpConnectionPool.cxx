#include "gpHttpConnectionPool.h"

#include <utility>

#include "gpEventLoop.h"
#include "gpHttpConnection.h"

namespace {

/// Connections that have been idle longer are closed. Otherwise the server may
/// close one because of its own idle timeout while a request is in transit.
constexpr gpMillis kMaxIdleTime{ 20000 };

} // namespace

gpHttpConnectionPool::gpHttpConnectionPool(
  boost::asio::io_context& aIo,
  const boost::asio::ip::tcp::endpoint& aServer,
  std::size_t aConnections)
  : io_(aIo)
  , server_(aServer)
  , maxConnections_(aConnections)
{
}

gpHttpConnectionPool::~gpHttpConnectionPool() = default;

void
gpHttpConnectionPool::Submit(const std::shared_ptr<gpHttpCall>& aCall)
{
  aCall->queuePosition_ = queue_.insert(queue_.end(), aCall);
  StartQueuedCalls();
}

void
gpHttpConnectionPool::Cancel(const std::shared_ptr<gpHttpCall>& aCall)
{
  if (!aCall->connection_) {
    queue_.erase(aCall->queuePosition_);
    return;
  }
  aCall->connection_->Close();
  aCall->connection_ = nullptr;
  --connectionCount_;
  StartQueuedCalls();
}

void
gpHttpConnectionPool::StartQueuedCalls()
{
  while (!queue_.empty() && AssignConnection(*queue_.front())) {
    const std::shared_ptr<gpHttpCall> call = std::move(queue_.front());
    queue_.pop_front();
    Start(call);
  }
}

bool
gpHttpConnectionPool::AssignConnection(gpHttpCall& aCall)
{
  const gpTime oldest = gpEventLoop::Now() - kMaxIdleTime;
  while (!idle_.empty()) {
    const IdleConnection idle = std::move(idle_.back());
    idle_.pop_back();
    if (idle.idleSince_ >= oldest && idle.connection_->IsUsable()) {
      aCall.connection_ = idle.connection_;
      aCall.onReusedConnection_ = true;
      return true;
    }
    --connectionCount_;
  }
  if (connectionCount_ >= maxConnections_) {
    return false;
  }
  ++connectionCount_;
  aCall.connection_ = std::make_shared<gpHttpConnection>(io_, server_);
  aCall.onReusedConnection_ = false;
  return true;
}

void
gpHttpConnectionPool::Start(const std::shared_ptr<gpHttpCall>& aCall)
{
  aCall->connection_->Exchange(
    aCall->request_,
    [pool = weak_from_this(), aCall](gpHttpReply aReply, bool aIsReusable) {
      if (const auto self = pool.lock()) {
        self->OnDone(aCall, std::move(aReply), aIsReusable);
      }
    });
}

void
gpHttpConnectionPool::OnDone(const std::shared_ptr<gpHttpCall>& aCall,
                             gpHttpReply aReply,
                             bool aIsReusable)
{
  const auto connection = std::exchange(aCall->connection_, nullptr);
  if (aIsReusable) {
    KeepIdle(connection);
  } else {
    --connectionCount_;
  }
  // The server had closed the idle connection; nothing was sent, so the call is
  // started again on another connection.
  const bool wasStale = aCall->onReusedConnection_ && !aReply.sent_;
  if (wasStale && !aReply.response_.ok()) {
    aCall->queuePosition_ = queue_.insert(queue_.begin(), aCall);
    StartQueuedCalls();
    return;
  }
  StartQueuedCalls();
  aCall->onDone_(std::move(aReply));
}

void
gpHttpConnectionPool::KeepIdle(std::shared_ptr<gpHttpConnection> aConnection)
{
  const gpTime now = gpEventLoop::Now();
  if (!idle_.empty() && idle_.front().idleSince_ < now - kMaxIdleTime) {
    idle_.erase(idle_.begin());
    --connectionCount_;
  }
  idle_.push_back({ std::move(aConnection), now });
}

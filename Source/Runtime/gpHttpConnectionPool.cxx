#include "gpHttpConnectionPool.h"

#include <utility>

#include "gpEventLoop.h"
#include "gpHttpConnection.h"

namespace {

/// A connection that was not used for so long is closed, before the server
/// does so while a request is on its way.
constexpr gpMillis kLongestIdle{ 20000 };

} // namespace

gpHttpConnectionPool::gpHttpConnectionPool(
  boost::asio::io_context& aIo,
  const boost::asio::ip::tcp::endpoint& aServer,
  std::size_t aConnections)
  : io_(aIo)
  , server_(aServer)
  , limit_(aConnections)
{
}

gpHttpConnectionPool::~gpHttpConnectionPool() = default;

void
gpHttpConnectionPool::Submit(const std::shared_ptr<gpHttpCall>& aCall)
{
  aCall->place_ = waiting_.insert(waiting_.end(), aCall);
  Serve();
}

void
gpHttpConnectionPool::Withdraw(const std::shared_ptr<gpHttpCall>& aCall)
{
  if (!aCall->connection_) {
    waiting_.erase(aCall->place_);
    return;
  }
  aCall->connection_->Close();
  aCall->connection_ = nullptr;
  --open_;
  Serve();
}

void
gpHttpConnectionPool::Serve()
{
  while (!waiting_.empty() && Assign(*waiting_.front())) {
    const std::shared_ptr<gpHttpCall> call = std::move(waiting_.front());
    waiting_.pop_front();
    Begin(call);
  }
}

bool
gpHttpConnectionPool::Assign(gpHttpCall& aCall)
{
  const gpTime oldest = gpEventLoop::Now() - kLongestIdle;
  while (!kept_.empty()) {
    const KeptConnection kept = std::move(kept_.back());
    kept_.pop_back();
    if (kept.since_ >= oldest && kept.connection_->IsUsable()) {
      aCall.connection_ = kept.connection_;
      aCall.onKeptConnection_ = true;
      return true;
    }
    --open_;
  }
  if (open_ >= limit_) {
    return false;
  }
  ++open_;
  aCall.connection_ = std::make_shared<gpHttpConnection>(io_, server_);
  aCall.onKeptConnection_ = false;
  return true;
}

void
gpHttpConnectionPool::Begin(const std::shared_ptr<gpHttpCall>& aCall)
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
    Keep(connection);
  } else {
    --open_;
  }
  const bool wasStale = aCall->onKeptConnection_ && !aReply.sent_;
  if (wasStale && !aReply.response_.ok()) {
    aCall->place_ = waiting_.insert(waiting_.begin(), aCall);
    Serve();
    return;
  }
  Serve();
  aCall->done_(std::move(aReply));
}

void
gpHttpConnectionPool::Keep(std::shared_ptr<gpHttpConnection> aConnection)
{
  const gpTime now = gpEventLoop::Now();
  if (!kept_.empty() && kept_.front().since_ < now - kLongestIdle) {
    kept_.erase(kept_.begin());
    --open_;
  }
  kept_.push_back({ std::move(aConnection), now });
}

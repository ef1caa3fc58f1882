#include "gpHttpClient.h"

#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "gpEndpoint.h"
#include "gpError.h"
#include "gpEventLoop.h"
#include "gpEventLoopContext.h"
#include "gpHttpConnection.h"
#include "gpHttpConnectionPool.h"

struct gpHttpClient::Impl : std::enable_shared_from_this<Impl>
{
  struct Entry
  {
    std::shared_ptr<gpHttpCall> call_;
    std::shared_ptr<gpHttpConnectionPool> pool_;
    Handler handler_;
    boost::asio::steady_timer timer_;
  };

  Impl(gpEventLoop& aLoop, std::size_t aConnections)
    : loop_(aLoop)
    , io_(aLoop.GetContext().io_)
    , connectionsPerAddress_(aConnections)
  {
  }

  void Start(gpCallId aId,
             const gpAddress& aServer,
             gpHttpRequest aRequest,
             gpMillis aTimeout,
             Handler aHandler);
  void OnTimeout(gpCallId aId);
  void Finish(gpCallId aId, gpHttpReply aReply);
  /// The pool of a server, which is created on the first use; null if the
  /// address can't be parsed.
  std::shared_ptr<gpHttpConnectionPool> FindOrCreatePool(
    const gpAddress& aServer);
  void CancelInPool(Entry& aEntry);
  void Stop();

  gpEventLoop& loop_;
  boost::asio::io_context& io_;
  std::size_t connectionsPerAddress_;
  std::unordered_map<gpAddress, std::shared_ptr<gpHttpConnectionPool>> pools_;
  std::unordered_map<gpCallId, Entry> calls_;
  gpCallId lastCall_;
};

void
gpHttpClient::Impl::Start(gpCallId aId,
                          const gpAddress& aServer,
                          gpHttpRequest aRequest,
                          gpMillis aTimeout,
                          Handler aHandler)
{
  const auto call = std::make_shared<gpHttpCall>();
  call->request_ = std::make_shared<gpHttpRequest>(std::move(aRequest));
  call->onDone_ = [self = weak_from_this(), aId](gpHttpReply aReply) {
    if (const auto client = self.lock()) {
      client->Finish(aId, std::move(aReply));
    }
  };
  auto pool = FindOrCreatePool(aServer);
  const auto [entry, isNew] =
    calls_.emplace(aId,
                   Entry{ call,
                          pool,
                          std::move(aHandler),
                          boost::asio::steady_timer(io_, aTimeout) });
  if (!pool) {
    loop_.Post([call, aServer] {
      const auto error =
        gpMakeError(gpErrorCode::BadArgument,
                    "invalid server address '" + aServer.value_ + "'");
      call->onDone_({ error, false, gpMicros{ 0 } });
    });
    return;
  }
  entry->second.timer_.async_wait(
    [self = weak_from_this(), aId](const boost::system::error_code& aError) {
      const auto client = self.lock();
      if (client && !aError) {
        client->OnTimeout(aId);
      }
    });
  pool->Submit(call);
}

std::shared_ptr<gpHttpConnectionPool>
gpHttpClient::Impl::FindOrCreatePool(const gpAddress& aServer)
{
  const auto known = pools_.find(aServer);
  if (known != pools_.end()) {
    return known->second;
  }
  const auto endpoint = gpParseEndpoint(aServer);
  if (!endpoint.ok()) {
    return nullptr;
  }
  auto pool = std::make_shared<gpHttpConnectionPool>(
    io_, *endpoint, connectionsPerAddress_);
  pools_.emplace(aServer, pool);
  return pool;
}

void
gpHttpClient::Impl::CancelInPool(Entry& aEntry)
{
  if (aEntry.pool_) {
    aEntry.pool_->Cancel(aEntry.call_);
  }
}

void
gpHttpClient::Impl::Stop()
{
  for (const auto& [id, entry] : calls_) {
    if (entry.call_->connection_) {
      entry.call_->connection_->Close();
    }
  }
  calls_.clear();
  pools_.clear();
}

void
gpHttpClient::Impl::OnTimeout(gpCallId aId)
{
  const auto entry = calls_.find(aId);
  if (entry == calls_.end()) {
    return;
  }
  gpHttpReply reply{ gpMakeError(gpErrorCode::HttpTimeout,
                                 "no response within the timeout of the call"),
                     false,
                     {} };
  if (const auto& connection = entry->second.call_->connection_) {
    reply.sent_ = connection->HasSent();
    reply.duration_ = connection->GetElapsed();
  }
  CancelInPool(entry->second);
  Finish(aId, std::move(reply));
}

void
gpHttpClient::Impl::Finish(gpCallId aId, gpHttpReply aReply)
{
  const auto entry = calls_.find(aId);
  if (entry == calls_.end()) {
    return;
  }
  const Handler handler = std::move(entry->second.handler_);
  calls_.erase(entry);
  handler(std::move(aReply));
}

gpHttpClient::gpHttpClient(gpEventLoop& aLoop,
                           std::size_t aConnectionsPerAddress)
  : impl_(std::make_shared<Impl>(aLoop, aConnectionsPerAddress))
{
}

gpHttpClient::~gpHttpClient()
{
  impl_->Stop();
}

gpCallId
gpHttpClient::Call(const gpAddress& aServer,
                   gpHttpRequest aRequest,
                   gpMillis aTimeout,
                   Handler aHandler)
{
  const gpCallId id(++impl_->lastCall_.value_);
  impl_->Start(id, aServer, std::move(aRequest), aTimeout, std::move(aHandler));
  return id;
}

void
gpHttpClient::Cancel(gpCallId aCall)
{
  const auto entry = impl_->calls_.find(aCall);
  if (entry == impl_->calls_.end()) {
    return;
  }
  impl_->CancelInPool(entry->second);
  impl_->calls_.erase(entry);
}

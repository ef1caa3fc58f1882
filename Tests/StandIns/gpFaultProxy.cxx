#include "gpFaultProxy.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gpEndpoint.h"
#include "gpError.h"
#include "gpEventLoopContext.h"
#include "gpFaultReplay.h"

namespace {

using Tcp = boost::asio::ip::tcp;
using ConnectionPtr = std::shared_ptr<gpFaultConnection>;

/// Binds a socket without listening, so that the port stays reserved and
/// connection attempts are refused.
absl::Status
Bind(Tcp::acceptor& aAcceptor, const Tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(aEndpoint, error);
  }
  return error ? gpMakeError(gpErrorCode::Io, error.message())
               : absl::OkStatus();
}

} // namespace

struct gpFaultProxy::Impl : std::enable_shared_from_this<Impl>
{
  Impl(gpEventLoop& aLoop, gpTimerService& aTimers)
    : io_(aLoop.GetContext().io_)
    , timers_(aTimers)
    , acceptor_(io_)
  {
  }

  absl::Status StartListening();
  void Accept();
  void Add(Tcp::socket aClient);
  void Remove(const ConnectionPtr& aConnection);
  void CutAll();
  void Record(gpFaultConnection& aConnection);

  boost::asio::io_context& io_;
  gpTimerService& timers_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint listen_;
  Tcp::endpoint server_;
  /// Faults of the open connections.
  gpFaults faults_;
  /// Initial faults of new connections.
  gpFaults newConnectionFaults_;
  bool refusing_ = false;
  bool recording_ = false;
  /// Recorded bytes from the client, one entry per connection, oldest first.
  std::vector<std::shared_ptr<std::string>> records_;
  std::set<ConnectionPtr> connections_;
  /// The traffic counts cover only the connections that have ended.
  gpProxyCounts counts_;
};

absl::Status
gpFaultProxy::Impl::StartListening()
{
  boost::system::error_code error;
  acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) {
    return gpMakeError(gpErrorCode::Io, error.message());
  }
  Accept();
  return absl::OkStatus();
}

void
gpFaultProxy::Impl::Accept()
{
  acceptor_.async_accept(
    [self = shared_from_this()](const boost::system::error_code& aError,
                                Tcp::socket aClient) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        self->Add(std::move(aClient));
      }
      self->Accept();
    });
}

void
gpFaultProxy::Impl::Add(Tcp::socket aClient)
{
  ++counts_.accepted_;
  auto connection = std::make_shared<gpFaultConnection>(
    std::move(aClient),
    timers_,
    [weak = weak_from_this()](const ConnectionPtr& aEnded) {
      if (const auto self = weak.lock()) {
        self->Remove(aEnded);
      }
    });
  connections_.insert(connection);
  if (recording_) {
    Record(*connection);
  }
  connection->Start(server_, newConnectionFaults_);
}

void
gpFaultProxy::Impl::Remove(const ConnectionPtr& aConnection)
{
  counts_.toServer_ += aConnection->CountsToServer();
  counts_.toClient_ += aConnection->CountsToClient();
  connections_.erase(aConnection);
}

void
gpFaultProxy::Impl::CutAll()
{
  counts_.cut_ += connections_.size();
  const std::set<ConnectionPtr> connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->Cut();
    Remove(connection);
  }
}

void
gpFaultProxy::Impl::Record(gpFaultConnection& aConnection)
{
  records_.push_back(std::make_shared<std::string>());
  aConnection.SetRecord(records_.back());
}

gpFaultProxy::gpFaultProxy(gpEventLoop& aLoop, gpTimerService& aTimers)
  : impl_(std::make_shared<Impl>(aLoop, aTimers))
{
}

gpFaultProxy::~gpFaultProxy()
{
  impl_->acceptor_.close();
  impl_->CutAll();
}

absl::StatusOr<gpAddress>
gpFaultProxy::Listen(const gpAddress& aAddress)
{
  const absl::StatusOr<Tcp::endpoint> endpoint = gpParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  if (absl::Status status = Bind(impl_->acceptor_, *endpoint); !status.ok()) {
    return status;
  }
  impl_->listen_ = impl_->acceptor_.local_endpoint();
  if (absl::Status status = impl_->StartListening(); !status.ok()) {
    return status;
  }
  return gpEndpointAddress(impl_->listen_);
}

absl::Status
gpFaultProxy::SetServer(const gpAddress& aServer)
{
  const absl::StatusOr<Tcp::endpoint> endpoint = gpParseEndpoint(aServer);
  if (endpoint.ok()) {
    impl_->server_ = *endpoint;
  }
  return endpoint.status();
}

gpFaults
gpFaultProxy::GetFaults() const
{
  return impl_->faults_;
}

void
gpFaultProxy::SetFaults(gpFaults aFaults)
{
  impl_->newConnectionFaults_ = aFaults;
  SetOpenConnectionFaults(aFaults);
}

void
gpFaultProxy::SetOpenConnectionFaults(gpFaults aFaults)
{
  impl_->faults_ = aFaults;
  // Iterates over a copy: SetFaults() may end a connection, which removes it.
  const std::set<ConnectionPtr> connections = impl_->connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->SetFaults(aFaults);
  }
}

void
gpFaultProxy::Cut()
{
  impl_->CutAll();
  impl_->faults_ = {};
  impl_->newConnectionFaults_ = {};
}

absl::Status
gpFaultProxy::SetRefusing(bool aRefusing)
{
  if (aRefusing == impl_->refusing_) {
    return absl::OkStatus();
  }
  impl_->refusing_ = aRefusing;
  if (!aRefusing) {
    return impl_->StartListening();
  }
  Cut();
  impl_->acceptor_.close();
  return Bind(impl_->acceptor_, impl_->listen_);
}

void
gpFaultProxy::SetRecording(bool aRecording)
{
  impl_->recording_ = aRecording;
  if (aRecording) {
    impl_->records_.clear();
  }
  for (const ConnectionPtr& connection : impl_->connections_) {
    if (aRecording) {
      impl_->Record(*connection);
    } else {
      connection->SetRecord(nullptr);
    }
  }
}

absl::Status
gpFaultProxy::Replay()
{
  const auto record =
    std::find_if(impl_->records_.rbegin(),
                 impl_->records_.rend(),
                 [](const auto& aRecord) { return !aRecord->empty(); });
  if (record == impl_->records_.rend()) {
    return gpMakeError(gpErrorCode::NotFound, "no recorded bytes to replay");
  }
  ++impl_->counts_.replays_;
  std::make_shared<gpFaultReplay>(impl_->io_.get_executor(),
                                  **record,
                                  [weak = std::weak_ptr<Impl>(impl_)] {
                                    if (const auto impl = weak.lock()) {
                                      ++impl->counts_.replaysEnded_;
                                    }
                                  })
    ->Start(impl_->server_);
  return absl::OkStatus();
}

void
gpFaultProxy::Repeat()
{
  for (const ConnectionPtr& connection : impl_->connections_) {
    connection->Repeat();
  }
}

gpProxyCounts
gpFaultProxy::GetCounts() const
{
  gpProxyCounts counts = impl_->counts_;
  counts.open_ = impl_->connections_.size();
  for (const ConnectionPtr& connection : impl_->connections_) {
    counts.toServer_ += connection->CountsToServer();
    counts.toClient_ += connection->CountsToClient();
  }
  return counts;
}

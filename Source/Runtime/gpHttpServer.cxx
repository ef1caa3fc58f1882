#include "gpHttpServer.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gpEndpoint.h"
#include "gpError.h"
#include "gpEventLoop.h"
#include "gpEventLoopContext.h"
#include "gpHttpSession.h"
#include "gpHttpSessionTable.h"

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Delay before the next accept after a failed one, such as when the process
/// has run out of file descriptors.
constexpr gpMillis kAcceptRetryDelay{ 100 };
/// Bounds of the interval at which the deadlines of sessions are checked.
constexpr gpMillis kMinCheckInterval{ 5 };
constexpr gpMillis kMaxCheckInterval{ 100 };
/// How many times deadlines are checked within the shortest time limit.
constexpr int kChecksPerLimit = 4;
/// Connections over the limit that are answered 503 at a time; further ones are
/// closed without a response.
constexpr std::size_t kMaxRefusedConnections = 64;

gpMillis
CheckInterval(const gpHttpLimits& aLimits)
{
  const gpMillis shortest = std::min(aLimits.requestTime_, aLimits.idleTime_);
  return std::clamp(
    shortest / kChecksPerLimit, kMinCheckInterval, kMaxCheckInterval);
}

absl::Status
ListenError(const gpAddress& aAddress, const error_code& aError)
{
  return gpMakeError(gpErrorCode::Io,
                     "cannot listen on " + aAddress.value_ + ": " +
                       aError.message());
}

} // namespace

struct gpHttpServer::Impl
  : gpHttpSessionOwner
  , std::enable_shared_from_this<Impl>
{
  Impl(gpEventLoop& aLoop, gpHttpLimits aLimits, Handlers aHandlers)
    : loop_(aLoop)
    , limits_(aLimits)
    , handlers_(std::move(aHandlers))
    , acceptor_(aLoop.GetContext().io_)
    , acceptTimer_(aLoop.GetContext().io_)
    , checkTimer_(aLoop.GetContext().io_)
  {
  }

  void OnRequest(gpHttpSession& aSession, gpHttpRequest aRequest) override;
  void OnWaiting(gpHttpSession& aSession, bool aIsWaiting) override;
  bool OnKept(gpHttpSession& aSession, std::size_t aBytes) override;
  void OnCallerDisconnected(gpHttpSession& aSession) override;
  void OnFinished(gpHttpSession& aSession) override;
  void OnClosed(gpHttpSession& aSession) override;

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  void Accept();
  void OnAccept(const error_code& aError, tcp::socket aSocket);
  void AcceptAfterDelay();
  void AddSession(tcp::socket aSocket);
  void AcceptBacklog();
  void ScheduleDeadlineCheck();
  void CheckDeadlines();
  void CheckDrained();
  void Stop();
  /// Removes a request that is about to be answered; returns its session, or
  /// null if the caller has disconnected.
  std::shared_ptr<gpHttpSession> RemoveRequest(gpRequestId aRequest);
  /// Closes the session that has waited for its caller the longest; returns
  /// false if none waits.
  bool MakeRoom();
  void NoteLimit(gpHttpLimitKind aLimit);

  gpEventLoop& loop_;
  gpHttpLimits limits_;
  Handlers handlers_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;
  boost::asio::steady_timer checkTimer_;
  gpHttpSessionTable sessions_;
  /// Requests that have not been answered.
  std::unordered_map<gpRequestId, gpHttpSession*> requests_;
  gpRequestId lastRequest_;
  /// Number of sessions that may still receive or answer a request.
  std::size_t unfinished_ = 0;
  std::function<void()> onDrained_;
  bool draining_ = false;
  bool closesAfterAnswers_ = false;
  bool stopped_ = false;
};

void
gpHttpServer::Impl::OnRequest(gpHttpSession& aSession, gpHttpRequest aRequest)
{
  const gpRequestId request(++lastRequest_.value_);
  aSession.SetRequest(request);
  requests_.emplace(request, &aSession);
  handlers_.request_(request, std::move(aRequest));
}

void
gpHttpServer::Impl::OnWaiting(gpHttpSession& aSession, bool aIsWaiting)
{
  sessions_.SetWaiting(aSession, aIsWaiting);
}

bool
gpHttpServer::Impl::OnKept(gpHttpSession& aSession, std::size_t aBytes)
{
  sessions_.SetKept(aSession, aBytes);
  while (sessions_.GetKept() > limits_.memoryBytes_) {
    const auto other = sessions_.FindLongestWaitingKeeper(aSession);
    NoteLimit(gpHttpLimitKind::Memory);
    if (!other) {
      return false;
    }
    other->Close();
  }
  return true;
}

void
gpHttpServer::Impl::OnCallerDisconnected(gpHttpSession& aSession)
{
  requests_.erase(aSession.GetRequest());
  if (handlers_.callerDisconnected_) {
    handlers_.callerDisconnected_(aSession.GetRequest());
  }
}

void
gpHttpServer::Impl::OnFinished(gpHttpSession& /*aSession*/)
{
  --unfinished_;
  CheckDrained();
}

void
gpHttpServer::Impl::OnClosed(gpHttpSession& aSession)
{
  requests_.erase(aSession.GetRequest());
  sessions_.Remove(aSession);
}

absl::StatusOr<gpAddress>
gpHttpServer::Impl::Listen(const gpAddress& aAddress)
{
  const auto endpoint = gpParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    error_code ignored;
    acceptor_.close(ignored);
    return ListenError(aAddress, error);
  }
  Accept();
  ScheduleDeadlineCheck();
  return gpEndpointAddress(acceptor_.local_endpoint());
}

void
gpHttpServer::Impl::Accept()
{
  acceptor_.async_accept(
    [self = shared_from_this()](const error_code& aError, tcp::socket aSocket) {
      self->OnAccept(aError, std::move(aSocket));
    });
}

void
gpHttpServer::Impl::OnAccept(const error_code& aError, tcp::socket aSocket)
{
  if (!aError && !stopped_) {
    AddSession(std::move(aSocket));
  }
  if (!acceptor_.is_open()) {
    return;
  }
  if (aError) {
    AcceptAfterDelay();
  } else {
    Accept();
  }
}

void
gpHttpServer::Impl::AcceptAfterDelay()
{
  acceptTimer_.expires_after(kAcceptRetryDelay);
  acceptTimer_.async_wait([self = shared_from_this()](const error_code&) {
    if (self->acceptor_.is_open()) {
      self->Accept();
    }
  });
}

void
gpHttpServer::Impl::AddSession(tcp::socket aSocket)
{
  const bool isFull = sessions_.Count() >= limits_.connections_ && !MakeRoom();
  if (isFull &&
      sessions_.Count() >= limits_.connections_ + kMaxRefusedConnections) {
    return;
  }
  const auto session = std::make_shared<gpHttpSession>(
    std::move(aSocket), limits_, weak_from_this());
  sessions_.Add(session);
  ++unfinished_;
  if (isFull) {
    session->Refuse(gpHttpRefusal::TooManyConnections);
    return;
  }
  session->Start();
  if (draining_) {
    session->Drain();
  }
}

bool
gpHttpServer::Impl::MakeRoom()
{
  NoteLimit(gpHttpLimitKind::Connections);
  const auto session = sessions_.FindLongestWaiting();
  if (session) {
    session->Close();
  }
  return session != nullptr;
}

void
gpHttpServer::Impl::NoteLimit(gpHttpLimitKind aLimit)
{
  if (handlers_.limitReached_) {
    handlers_.limitReached_(aLimit);
  }
}

/// Serves the connections that are established but still in the listen backlog,
/// whose callers would otherwise be reset when the acceptor closes.
void
gpHttpServer::Impl::AcceptBacklog()
{
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor_.accept(error);
    if (!error) {
      AddSession(std::move(socket));
    }
  }
}

void
gpHttpServer::Impl::ScheduleDeadlineCheck()
{
  checkTimer_.expires_after(CheckInterval(limits_));
  checkTimer_.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError && !self->stopped_) {
      self->CheckDeadlines();
    }
  });
}

void
gpHttpServer::Impl::CheckDeadlines()
{
  const gpTime now = gpEventLoop::Now();
  for (const auto& session : sessions_.GetAll()) {
    session->CheckDeadline(now);
  }
  ScheduleDeadlineCheck();
}

void
gpHttpServer::Impl::CheckDrained()
{
  if (draining_ && unfinished_ == 0 && onDrained_) {
    loop_.Post(std::exchange(onDrained_, nullptr));
  }
}

void
gpHttpServer::Impl::Stop()
{
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  acceptTimer_.cancel();
  checkTimer_.cancel();
  onDrained_ = nullptr;
  for (const auto& session : sessions_.GetAll()) {
    session->Close();
  }
}

std::shared_ptr<gpHttpSession>
gpHttpServer::Impl::RemoveRequest(gpRequestId aRequest)
{
  const auto entry = requests_.find(aRequest);
  if (entry == requests_.end()) {
    return nullptr;
  }
  auto session = sessions_.Get(*entry->second);
  requests_.erase(entry);
  return session;
}

gpHttpServer::gpHttpServer(gpEventLoop& aLoop,
                           gpHttpLimits aLimits,
                           Handlers aHandlers)
  : impl_(std::make_shared<Impl>(aLoop, aLimits, std::move(aHandlers)))
{
}

gpHttpServer::~gpHttpServer()
{
  impl_->Stop();
}

absl::StatusOr<gpAddress>
gpHttpServer::Listen(const gpAddress& aAddress)
{
  return impl_->Listen(aAddress);
}

void
gpHttpServer::Respond(gpRequestId aRequest, gpHttpResponse aResponse)
{
  if (const auto session = impl_->RemoveRequest(aRequest)) {
    session->Respond(std::move(aResponse), !impl_->closesAfterAnswers_);
  }
}

bool
gpHttpServer::IsCallerDisconnected(gpRequestId aRequest) const
{
  const auto entry = impl_->requests_.find(aRequest);
  return entry == impl_->requests_.end() ||
         entry->second->IsCallerDisconnected();
}

void
gpHttpServer::Abort(gpRequestId aRequest)
{
  if (const auto session = impl_->RemoveRequest(aRequest)) {
    session->Close();
  }
}

void
gpHttpServer::CloseAfterAnswers()
{
  impl_->closesAfterAnswers_ = true;
}

void
gpHttpServer::Drain(std::function<void()> aDrained)
{
  impl_->draining_ = true;
  impl_->onDrained_ = std::move(aDrained);
  impl_->AcceptBacklog();
  error_code ignored;
  impl_->acceptor_.close(ignored);
  for (const auto& session : impl_->sessions_.GetAll()) {
    session->Drain();
  }
  impl_->CheckDrained();
}

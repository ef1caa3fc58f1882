#include "gpHttpServer.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gpEndpoint.h"
#include "gpError.h"
#include "gpEventLoop.h"
#include "gpEventLoopContext.h"
#include "gpHttpSession.h"

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Pause after a connection could not be accepted, such as for want of file
/// descriptors.
constexpr gpMillis kAcceptPause{ 100 };
constexpr gpMillis kShortestCheck{ 5 };
constexpr gpMillis kLongestCheck{ 100 };
/// Deadlines are checked so many times within the shortest of the limits.
constexpr int kChecksPerLimit = 4;
/// Connections over the limit that are answered 503; more are just closed.
constexpr std::size_t kRefusedConnections = 64;

gpMillis
CheckInterval(const gpHttpLimits& aLimits)
{
  const gpMillis shortest = std::min(aLimits.requestTime_, aLimits.idleTime_);
  return std::clamp(shortest / kChecksPerLimit, kShortestCheck, kLongestCheck);
}

absl::Status
ListenError(const gpAddress& aAddress, const error_code& aError)
{
  return gpMakeError(gpErrorCode::Io,
                     "can't listen on " + aAddress.value_ + ": " +
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
  void OnCallerGone(gpHttpSession& aSession) override;
  void OnSettled(gpHttpSession& aSession) override;
  void OnClosed(gpHttpSession& aSession) override;

  absl::StatusOr<gpAddress> Listen(const gpAddress& aAddress);
  void Accept();
  void OnAccept(const error_code& aError, tcp::socket aSocket);
  void PauseAccept();
  void Take(tcp::socket aSocket);
  void TakePending();
  void CheckLater();
  void CheckDeadlines();
  void CheckDrained();
  void Stop();
  /// The session that holds the request, which then is answered; null if the
  /// caller is gone.
  std::shared_ptr<gpHttpSession> TakeRequest(gpRequestId aRequest);
  std::vector<std::shared_ptr<gpHttpSession>> GetSessions() const;

  gpEventLoop& loop_;
  gpHttpLimits limits_;
  Handlers handlers_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;
  boost::asio::steady_timer checkTimer_;
  std::unordered_map<gpHttpSession*, std::shared_ptr<gpHttpSession>> sessions_;
  std::unordered_map<gpRequestId, gpHttpSession*> requests_;
  gpRequestId lastRequest_;
  /// Sessions that may still take or answer a request.
  std::size_t unsettled_ = 0;
  std::function<void()> drained_;
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
gpHttpServer::Impl::OnCallerGone(gpHttpSession& aSession)
{
  requests_.erase(aSession.GetRequest());
  if (handlers_.callerGone_) {
    handlers_.callerGone_(aSession.GetRequest());
  }
}

void
gpHttpServer::Impl::OnSettled(gpHttpSession& /*aSession*/)
{
  --unsettled_;
  CheckDrained();
}

void
gpHttpServer::Impl::OnClosed(gpHttpSession& aSession)
{
  requests_.erase(aSession.GetRequest());
  sessions_.erase(&aSession);
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
  CheckLater();
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
    Take(std::move(aSocket));
  }
  if (!acceptor_.is_open()) {
    return;
  }
  if (aError) {
    PauseAccept();
  } else {
    Accept();
  }
}

void
gpHttpServer::Impl::PauseAccept()
{
  acceptTimer_.expires_after(kAcceptPause);
  acceptTimer_.async_wait([self = shared_from_this()](const error_code&) {
    if (self->acceptor_.is_open()) {
      self->Accept();
    }
  });
}

void
gpHttpServer::Impl::Take(tcp::socket aSocket)
{
  const bool isFull = sessions_.size() >= limits_.connections_;
  if (isFull &&
      sessions_.size() >= limits_.connections_ + kRefusedConnections) {
    return;
  }
  const auto session = std::make_shared<gpHttpSession>(
    std::move(aSocket), limits_, weak_from_this());
  sessions_.emplace(session.get(), session);
  ++unsettled_;
  if (isFull) {
    session->Refuse(gpHttpRefusal::TooManyConnections);
    return;
  }
  session->Start();
  if (draining_) {
    session->Drain();
  }
}

/// Callers whose connection the system has already accepted get their answer.
void
gpHttpServer::Impl::TakePending()
{
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor_.accept(error);
    if (!error) {
      Take(std::move(socket));
    }
  }
}

void
gpHttpServer::Impl::CheckLater()
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
  for (const auto& session : GetSessions()) {
    session->CheckDeadline(now);
  }
  CheckLater();
}

void
gpHttpServer::Impl::CheckDrained()
{
  if (draining_ && unsettled_ == 0 && drained_) {
    loop_.Post(std::exchange(drained_, nullptr));
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
  drained_ = nullptr;
  for (const auto& session : GetSessions()) {
    session->Close();
  }
}

std::vector<std::shared_ptr<gpHttpSession>>
gpHttpServer::Impl::GetSessions() const
{
  std::vector<std::shared_ptr<gpHttpSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_) {
    sessions.push_back(session);
  }
  return sessions;
}

std::shared_ptr<gpHttpSession>
gpHttpServer::Impl::TakeRequest(gpRequestId aRequest)
{
  const auto entry = requests_.find(aRequest);
  if (entry == requests_.end()) {
    return nullptr;
  }
  auto session = sessions_.at(entry->second);
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
  if (const auto session = impl_->TakeRequest(aRequest)) {
    session->Respond(std::move(aResponse), !impl_->closesAfterAnswers_);
  }
}

bool
gpHttpServer::HasCallerLeft(gpRequestId aRequest) const
{
  const auto entry = impl_->requests_.find(aRequest);
  return entry == impl_->requests_.end() || entry->second->HasCallerLeft();
}

void
gpHttpServer::Abort(gpRequestId aRequest)
{
  if (const auto session = impl_->TakeRequest(aRequest)) {
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
  impl_->drained_ = std::move(aDrained);
  impl_->TakePending();
  error_code ignored;
  impl_->acceptor_.close(ignored);
  for (const auto& session : impl_->GetSessions()) {
    session->Drain();
  }
  impl_->CheckDrained();
}

#include "gpLinkDialer.h"

#include <utility>

#include "gpEndpoint.h"
#include "gpEventLoop.h"
#include "gpEventLoopContext.h"

using boost::asio::ip::tcp;

namespace {

gpErrorCode
ToErrorCode(const boost::system::error_code& aError)
{
  if (aError == boost::asio::error::connection_refused) {
    return gpErrorCode::ConnectRefused;
  }
  if (aError == boost::asio::error::timed_out) {
    return gpErrorCode::ConnectTimeout;
  }
  return gpErrorCode::Io;
}

/// If nobody listens on a local port of the ephemeral range, TCP may pick that
/// port as the source port, so that the socket connects to itself.
bool
IsConnectedToItself(const tcp::socket& aSocket)
{
  boost::system::error_code error;
  return aSocket.local_endpoint(error) == aSocket.remote_endpoint(error);
}

} // namespace

gpLinkDialer::gpLinkDialer(gpLinkContext& aContext,
                           gpAddress aAddress,
                           Handlers aHandlers)
  : context_(aContext)
  , address_(std::move(aAddress))
  , handlers_(std::move(aHandlers))
{
}

void
gpLinkDialer::Dial()
{
  const auto endpoint = gpParseEndpoint(address_);
  if (!endpoint.ok()) {
    SetTimer(gpMillis(0), &gpLinkDialer::OnBadAddress);
    return;
  }
  Connect(*endpoint);
}

void
gpLinkDialer::Connect(const tcp::endpoint& aEndpoint)
{
  socket_ = std::make_shared<tcp::socket>(context_.loop_.GetContext().io_);
  socket_->async_connect(aEndpoint,
                         [weak = weak_from_this(), socket = socket_](
                           const boost::system::error_code& aError) {
                           const auto self = weak.lock();
                           if (self && self->socket_ == socket) {
                             self->OnConnected(aError);
                           }
                         });
  SetTimer(context_.settings_.connectTimeout_, &gpLinkDialer::OnTimeout);
}

void
gpLinkDialer::OnConnected(const boost::system::error_code& aError)
{
  if (aError) {
    Fail(ToErrorCode(aError));
    return;
  }
  if (IsConnectedToItself(*socket_)) {
    Fail(gpErrorCode::ConnectRefused);
    return;
  }
  context_.timers_.Cancel(timer_);
  const auto socket = std::exchange(socket_, nullptr);
  handlers_.connected_(std::move(*socket));
}

void
gpLinkDialer::RedialAfterDelay()
{
  SetTimer(context_.settings_.redial_, &gpLinkDialer::Dial);
}

void
gpLinkDialer::SetTimer(gpMillis aDelay, void (gpLinkDialer::*aHandler)())
{
  context_.timers_.Cancel(timer_);
  timer_ = context_.timers_.Subscribe(gpEventLoop::Now() + aDelay,
                                      [weak = weak_from_this(), aHandler]() {
                                        if (const auto self = weak.lock()) {
                                          (self.get()->*aHandler)();
                                        }
                                      });
}

void
gpLinkDialer::Fail(gpErrorCode aCode)
{
  socket_.reset();
  RedialAfterDelay();
  handlers_.failed_(aCode);
}

void
gpLinkDialer::Stop()
{
  socket_.reset();
  context_.timers_.Cancel(timer_);
}

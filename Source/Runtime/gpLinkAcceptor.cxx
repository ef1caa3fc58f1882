#include "gpLinkAcceptor.h"

#include <utility>

#include "gpEndpoint.h"
#include "gpEventLoop.h"
#include "gpEventLoopContext.h"

using boost::asio::ip::tcp;

namespace {

/// Delay before the next accept after a failed one, such as when the process
/// has run out of file descriptors.
constexpr gpMillis kAcceptRetryDelay{ 100 };

} // namespace

gpLinkAcceptor::gpLinkAcceptor(gpLinkContext& aContext, Handler aAccepted)
  : context_(aContext)
  , accepted_(std::move(aAccepted))
  , acceptor_(aContext.loop_.GetContext().io_)
{
}

absl::StatusOr<gpAddress>
gpLinkAcceptor::Listen(const gpAddress& aAddress)
{
  const auto endpoint = gpParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  try {
    acceptor_.open(endpoint->protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(*endpoint);
    acceptor_.listen();
    const gpAddress inUse = gpEndpointAddress(acceptor_.local_endpoint());
    Accept();
    return inUse;
  } catch (const boost::system::system_error& error) {
    return gpMakeError(gpErrorCode::Io,
                       "cannot listen on " + aAddress.value_ + ": " +
                         error.what());
  }
}

void
gpLinkAcceptor::Accept()
{
  acceptor_.async_accept(
    [weak = weak_from_this()](const boost::system::error_code& aError,
                              tcp::socket aSocket) {
      const auto self = weak.lock();
      if (!self || !self->acceptor_.is_open()) {
        return;
      }
      if (aError) {
        self->AcceptAfterDelay();
        return;
      }
      self->Accept();
      self->accepted_(std::move(aSocket));
    });
}

void
gpLinkAcceptor::AcceptAfterDelay()
{
  timer_ = context_.timers_.Subscribe(gpEventLoop::Now() + kAcceptRetryDelay,
                                      [weak = weak_from_this()]() {
                                        if (const auto self = weak.lock()) {
                                          self->Accept();
                                        }
                                      });
}

void
gpLinkAcceptor::Stop()
{
  context_.timers_.Cancel(timer_);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

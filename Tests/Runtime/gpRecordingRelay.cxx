#include "gpRecordingRelay.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gpEndpoint.h"
#include "gpEventLoopContext.h"

using boost::asio::ip::tcp;

namespace {

struct Direction
{
  std::array<char, 4096> chunk_{};
  std::string bytes_;
};

} // namespace

struct gpRecordingRelay::Impl : public std::enable_shared_from_this<Impl>
{
  explicit Impl(gpEventLoop& aLoop)
    : acceptor_(aLoop.GetContext().io_,
                gpParseEndpoint(gpAddress("127.0.0.1:0")).value())
    , dialer_(aLoop.GetContext().io_)
    , server_(aLoop.GetContext().io_)
  {
  }

  void Forward(tcp::socket& aFrom, tcp::socket& aTo, Direction& aDirection)
  {
    aFrom.async_read_some(
      boost::asio::buffer(aDirection.chunk_),
      [self = shared_from_this(), &aFrom, &aTo, &aDirection](
        const auto& aError, std::size_t aBytes) {
        if (aError) {
          return;
        }
        const std::string bytes(aDirection.chunk_.data(), aBytes);
        aDirection.bytes_ += bytes;
        boost::system::error_code ignored;
        boost::asio::write(aTo, boost::asio::buffer(bytes), ignored);
        self->Forward(aFrom, aTo, aDirection);
      });
  }

  tcp::acceptor acceptor_;
  tcp::socket dialer_;
  tcp::socket server_;
  Direction fromDialer_;
  Direction fromServer_;
};

gpRecordingRelay::gpRecordingRelay(gpEventLoop& aLoop, const gpAddress& aServer)
  : impl_(std::make_shared<Impl>(aLoop))
{
  impl_->acceptor_.async_accept(
    impl_->dialer_, [impl = impl_, aServer](const auto& aError) {
      if (!aError) {
        impl->server_.connect(gpParseEndpoint(aServer).value());
        impl->Forward(impl->dialer_, impl->server_, impl->fromDialer_);
        impl->Forward(impl->server_, impl->dialer_, impl->fromServer_);
      }
    });
}

gpRecordingRelay::~gpRecordingRelay()
{
  Close();
}

gpAddress
gpRecordingRelay::GetAddress() const
{
  return gpEndpointAddress(impl_->acceptor_.local_endpoint());
}

const std::string&
gpRecordingRelay::GetDialerBytes() const
{
  return impl_->fromDialer_.bytes_;
}

const std::string&
gpRecordingRelay::GetServerBytes() const
{
  return impl_->fromServer_.bytes_;
}

void
gpRecordingRelay::Close()
{
  boost::system::error_code ignored;
  impl_->acceptor_.close(ignored);
  impl_->dialer_.close(ignored);
  impl_->server_.close(ignored);
}

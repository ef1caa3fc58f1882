#include "gpRawCaller.h"

#include <array>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gpEventLoopContext.h"
#include "gpTestLoop.h"

namespace {

using boost::asio::ip::tcp;

tcp::endpoint
EndpointOf(const gpAddress& aAddress)
{
  const std::size_t colon = aAddress.value_.rfind(':');
  const int port = std::stoi(aAddress.value_.substr(colon + 1));
  return { boost::asio::ip::make_address(aAddress.value_.substr(0, colon)),
           static_cast<std::uint16_t>(port) };
}

} // namespace

struct gpRawCaller::Impl : std::enable_shared_from_this<Impl>
{
  explicit Impl(boost::asio::io_context& aIo)
    : socket_(aIo)
  {
  }

  void Read()
  {
    socket_.async_read_some(
      boost::asio::buffer(chunk_),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aBytes) {
        self->received_.append(self->chunk_.data(), aBytes);
        if (aError) {
          self->ended_ = true;
        } else {
          self->Read();
        }
      });
  }

  tcp::socket socket_;
  std::array<char, 4096> chunk_{};
  std::string received_;
  bool ended_ = false;
};

gpRawCaller::gpRawCaller(gpEventLoop& aLoop, const gpAddress& aServer)
  : loop_(aLoop)
  , impl_(std::make_shared<Impl>(aLoop.GetContext().io_))
{
  impl_->socket_.connect(EndpointOf(aServer));
  impl_->Read();
}

gpRawCaller::~gpRawCaller()
{
  Close();
}

void
gpRawCaller::Send(const std::string& aBytes)
{
  boost::system::error_code ignored;
  boost::asio::write(impl_->socket_, boost::asio::buffer(aBytes), ignored);
}

void
gpRawCaller::Close()
{
  boost::system::error_code ignored;
  impl_->socket_.close(ignored);
}

std::string
gpRawCaller::ReadUntil(const std::string& aEnd)
{
  gpRunUntil(loop_, [this, &aEnd] {
    return impl_->ended_ || impl_->received_.ends_with(aEnd);
  });
  return std::exchange(impl_->received_, {});
}

std::string
gpRawCaller::ReadToEnd()
{
  gpRunUntil(loop_, [this] { return impl_->ended_; });
  return std::exchange(impl_->received_, {});
}

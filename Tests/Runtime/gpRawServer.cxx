#include "gpRawServer.h"

#include <array>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gpEventLoopContext.h"

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

} // namespace

struct gpRawServer::Impl : std::enable_shared_from_this<Impl>
{
  explicit Impl(boost::asio::io_context& aIo)
    : acceptor_(aIo)
  {
    acceptor_.open(tcp::v4());
    acceptor_.bind({ boost::asio::ip::address_v4::loopback(), 0 });
  }

  void Accept()
  {
    acceptor_.async_accept([self = shared_from_this()](const error_code& aError,
                                                       tcp::socket aSocket) {
      if (aError) {
        return;
      }
      self->sockets_.push_back(
        std::make_shared<tcp::socket>(std::move(aSocket)));
      self->received_.emplace_back();
      self->ended_.push_back(false);
      self->Read(self->sockets_.size() - 1);
      self->Accept();
    });
  }

  void Read(std::size_t aConnection)
  {
    const auto chunk = std::make_shared<std::array<char, 4096>>();
    sockets_.at(aConnection)
      ->async_read_some(
        boost::asio::buffer(*chunk),
        [self = shared_from_this(), chunk, aConnection](
          const error_code& aError, std::size_t aBytes) {
          self->received_.at(aConnection).append(chunk->data(), aBytes);
          if (aError) {
            self->ended_.at(aConnection) = true;
          } else {
            self->Read(aConnection);
          }
        });
  }

  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::string> received_;
  std::vector<bool> ended_;
};

gpRawServer::gpRawServer(gpEventLoop& aLoop)
  : impl_(std::make_shared<Impl>(aLoop.GetContext().io_))
{
}

gpRawServer::~gpRawServer()
{
  error_code ignored;
  impl_->acceptor_.close(ignored);
  for (const auto& socket : impl_->sockets_) {
    socket->close(ignored);
  }
}

void
gpRawServer::Listen()
{
  impl_->acceptor_.listen();
  impl_->Accept();
}

gpAddress
gpRawServer::GetAddress() const
{
  const auto port = impl_->acceptor_.local_endpoint().port();
  return gpAddress("127.0.0.1:" + std::to_string(port));
}

const std::vector<std::string>&
gpRawServer::GetReceived() const
{
  return impl_->received_;
}

bool
gpRawServer::IsClosedByPeer(std::size_t aConnection) const
{
  return impl_->ended_.at(aConnection);
}

void
gpRawServer::Send(std::size_t aConnection, const std::string& aBytes)
{
  error_code ignored;
  boost::asio::write(
    *impl_->sockets_.at(aConnection), boost::asio::buffer(aBytes), ignored);
}

void
gpRawServer::Close(std::size_t aConnection)
{
  error_code ignored;
  impl_->sockets_.at(aConnection)->close(ignored);
}

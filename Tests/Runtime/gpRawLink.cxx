#include "gpRawLink.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "gpEndpoint.h"
#include "gpEventLoopContext.h"
#include "gpFrameCodec.h"
#include "gpTestLoop.h"

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kPrefixBytes = 4;
constexpr std::uint64_t kNonce = 77;

} // namespace

struct gpRawLink::Impl : public std::enable_shared_from_this<Impl>
{
  explicit Impl(gpEventLoop& aLoop)
    : loop_(aLoop)
    , socket_(aLoop.GetContext().io_)
    , acceptor_(aLoop.GetContext().io_)
  {
  }

  void Read()
  {
    socket_.async_read_some(
      boost::asio::buffer(chunk_),
      [self = shared_from_this()](const auto& aError, std::size_t aBytes) {
        if (aError) {
          self->closed_ = true;
          return;
        }
        self->received_.append(self->chunk_.data(), aBytes);
        self->Read();
      });
  }

  gpEventLoop& loop_;
  tcp::socket socket_;
  tcp::acceptor acceptor_;
  std::array<char, 4096> chunk_{};
  std::string received_;
  bool accepted_ = false;
  bool closed_ = false;
  std::uint64_t link_ = 0;
};

gpRawLink::gpRawLink(gpEventLoop& aLoop)
  : impl_(std::make_shared<Impl>(aLoop))
{
}

gpRawLink::~gpRawLink()
{
  boost::system::error_code ignored;
  impl_->socket_.close(ignored);
  impl_->acceptor_.close(ignored);
}

void
gpRawLink::Connect(const gpAddress& aAddress)
{
  impl_->socket_.connect(gpParseEndpoint(aAddress).value());
  impl_->Read();
}

gpAddress
gpRawLink::Listen()
{
  const auto endpoint = gpParseEndpoint(gpAddress("127.0.0.1:0")).value();
  impl_->acceptor_ = tcp::acceptor(impl_->loop_.GetContext().io_, endpoint);
  impl_->acceptor_.async_accept(
    impl_->socket_, [impl = impl_](const boost::system::error_code& aError) {
      if (!aError) {
        impl->accepted_ = true;
        impl->Read();
      }
    });
  return gpEndpointAddress(impl_->acceptor_.local_endpoint());
}

void
gpRawLink::WaitForConnection()
{
  gpRunUntil(impl_->loop_, [this]() { return impl_->accepted_; });
}

void
gpRawLink::SendBytes(const std::string& aBytes)
{
  boost::system::error_code ignored; // the other side may have closed
  boost::asio::write(impl_->socket_, boost::asio::buffer(aBytes), ignored);
}

void
gpRawLink::SendPayload(const std::string& aPayload)
{
  std::string bytes;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    bytes.push_back(static_cast<char>(aPayload.size() >> (8 * i)));
  }
  SendBytes(bytes + aPayload);
}

void
gpRawLink::SendFrame(std::uint64_t aSequence, std::vector<gpMessage> aMessages)
{
  const gpFrame frame{ { impl_->link_, aSequence, 1 }, std::move(aMessages) };
  SendPayload(gpFrameCodec::EncodeFrame(frame));
}

void
gpRawLink::ShakeHands(std::uint64_t aIncarnation)
{
  const gpHello theirs = ReadHello();
  const gpPeer self{
    gpRole::Entry, "raw", gpIncarnation(aIncarnation), gpAddress("127.0.0.1:9")
  };
  impl_->link_ = theirs.nonce_ ^ kNonce;
  SendPayload(gpFrameCodec::EncodeHello(
    { gpFrameCodec::kProtocolVersion, self, kNonce, theirs.nonce_ }));
}

gpHello
gpRawLink::ReadHello()
{
  gpRunUntil(impl_->loop_,
             [this]() { return impl_->received_.size() >= kPrefixBytes; });
  // The hellos in these tests are shorter than 256 bytes, so the first byte of
  // the length prefix is the length.
  const std::size_t length =
    static_cast<unsigned char>(impl_->received_.front());
  gpRunUntil(impl_->loop_, [this, length]() {
    return impl_->received_.size() >= kPrefixBytes + length;
  });
  return gpFrameCodec::DecodeHello(
           impl_->received_.substr(kPrefixBytes, length))
    .value();
}

void
gpRawLink::WaitForClose()
{
  gpRunUntil(impl_->loop_, [this]() { return impl_->closed_; });
}

#include "gpLinkConnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "gpEventLoop.h"

namespace {

/// Initial size of the receive buffer, enough for a usual handshake. Each
/// connection has it, also one that sends nothing.
constexpr std::size_t kInitialBufferBytes = 8U << 10U;
/// A larger receive buffer shrinks to this size when it is empty.
constexpr std::size_t kReceiveBufferBytes = 16U << 10U;
/// The buffer is compacted, and grows if needed, when less space than this is
/// left for a read.
constexpr std::size_t kMinReadBytes = 4U << 10U;

std::array<unsigned char, gpLinkConnection::kPrefixBytes>
EncodeLength(std::size_t aLength)
{
  std::array<unsigned char, gpLinkConnection::kPrefixBytes> prefix{};
  for (std::size_t i = 0; i < prefix.size(); ++i) {
    prefix.at(i) = static_cast<unsigned char>(aLength >> (8U * i));
  }
  return prefix;
}

std::size_t
DecodeLength(const char* aPrefix)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < gpLinkConnection::kPrefixBytes; ++i) {
    length |= std::size_t{ static_cast<unsigned char>(aPrefix[i]) } << (8U * i);
  }
  return length;
}

} // namespace

gpLinkConnection::gpLinkConnection(boost::asio::ip::tcp::socket aSocket,
                                   Limits aLimits,
                                   Handlers aHandlers)
  : socket_(std::move(aSocket))
  , limits_(aLimits)
  , handlers_(std::move(aHandlers))
  , received_(kInitialBufferBytes)
  , lastReceived_(gpEventLoop::Now())
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void
gpLinkConnection::Start()
{
  Read();
}

void
gpLinkConnection::Read()
{
  EnsureReadSpace();
  if (closed_) {
    return; // the memory of all connections together has run out
  }
  socket_.async_read_some(
    boost::asio::buffer(received_.data() + end_, received_.size() - end_),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      if (self->closed_) {
        return;
      }
      if (aError) {
        self->Fail(gpErrorCode::LinkClosed);
        return;
      }
      self->OnRead(aBytes);
    });
}

/// Grows the buffer in proportion to the bytes received, not to the announced
/// length, so that a peer can't make this side allocate much more than it
/// sends.
void
gpLinkConnection::EnsureReadSpace()
{
  if (begin_ == end_) {
    begin_ = 0;
    end_ = 0;
    if (received_.size() > kReceiveBufferBytes) {
      received_ = std::vector<char>(kReceiveBufferBytes);
      handlers_.buffered_();
    }
    return;
  }
  if (received_.size() - end_ >= kMinReadBytes) {
    return;
  }
  std::copy(received_.begin() + static_cast<std::ptrdiff_t>(begin_),
            received_.begin() + static_cast<std::ptrdiff_t>(end_),
            received_.begin());
  end_ -= begin_;
  begin_ = 0;
  if (received_.size() - end_ < received_.size() / 2) {
    received_.resize(received_.size() * 2);
    handlers_.buffered_();
  }
}

void
gpLinkConnection::OnRead(std::size_t aBytes)
{
  end_ += aBytes;
  receivedBytes_ += aBytes;
  lastReceived_ = gpEventLoop::Now();
  while (!closed_ && HandleNextPayload()) {
  }
  if (!closed_) {
    Read();
  }
}

/// Handles the next payload; returns false if it has not arrived completely.
bool
gpLinkConnection::HandleNextPayload()
{
  if (end_ - begin_ < kPrefixBytes) {
    return false;
  }
  const std::size_t length = DecodeLength(received_.data() + begin_);
  if (length > limits_.payloadBytes_) {
    Fail(gpErrorCode::FrameTooLarge);
    return false;
  }
  if (end_ - begin_ < kPrefixBytes + length) {
    return false;
  }
  const std::string_view payload(received_.data() + begin_ + kPrefixBytes,
                                 length);
  begin_ += kPrefixBytes + length;
  handlers_.payload_(payload);
  return true;
}

void
gpLinkConnection::Send(std::string aPayload)
{
  if (closed_) {
    return;
  }
  queuedBytes_ += kPrefixBytes + aPayload.size();
  if (queuedBytes_ - writtenBytes_ > limits_.sendBytes_) {
    Fail(gpErrorCode::SendBufferFull);
    return;
  }
  const Prefix prefix = EncodeLength(aPayload.size());
  queued_.push_back(Chunk{ prefix, std::move(aPayload) });
  if (writing_.empty()) {
    Write();
  }
  handlers_.buffered_();
}

void
gpLinkConnection::Write()
{
  writing_.swap(queued_);
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(2 * writing_.size());
  for (const Chunk& chunk : writing_) {
    buffers.emplace_back(boost::asio::buffer(chunk.prefix_));
    buffers.emplace_back(boost::asio::buffer(chunk.payload_));
  }
  boost::asio::async_write(
    socket_,
    buffers,
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      if (self->closed_) {
        return;
      }
      if (aError) {
        self->Fail(gpErrorCode::LinkClosed);
        return;
      }
      self->OnWritten(aBytes);
    });
}

void
gpLinkConnection::OnWritten(std::size_t aBytes)
{
  writtenBytes_ += aBytes;
  writing_.clear();
  if (!queued_.empty()) {
    Write();
  }
  handlers_.buffered_();
  if (!closed_) {
    handlers_.written_();
  }
}

std::size_t
gpLinkConnection::GetBufferedBytes() const
{
  const std::size_t received = received_.size() > kReceiveBufferBytes
                                 ? received_.size() - kReceiveBufferBytes
                                 : 0;
  return received + (queuedBytes_ - writtenBytes_);
}

void
gpLinkConnection::Fail(gpErrorCode aCode)
{
  if (closed_) {
    return;
  }
  Close();
  handlers_.closed_(aCode);
}

void
gpLinkConnection::Close()
{
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

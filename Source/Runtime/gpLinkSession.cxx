#include "gpLinkSession.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gpEventLoop.h"
#include "gpFrameCodec.h"
#include "gpLamportClock.h"

namespace {

/// Largest payload that is accepted during the handshake.
constexpr std::size_t kHelloBytes = 4U << 10U;
/// No more messages are added to a frame that has grown past this size.
constexpr std::size_t kSoftFrameBytes = 1U << 20U;
/// Time that a link gets after the silence timeout. A process that was itself
/// paused reads in it the bytes that have arrived meanwhile, and so doesn't
/// mistake its own pause for a silent peer.
constexpr gpMillis kReadGrace{ 10 };

std::uint64_t
DrawNonce()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> numbers(1);
  return numbers(device);
}

} // namespace

gpLinkSession::gpLinkSession(gpLinkId aId,
                             std::optional<gpAddress> aDialed,
                             gpLinkContext& aContext,
                             gpLinkObserver& aObserver)
  : id_(aId)
  , dialed_(std::move(aDialed))
  , context_(aContext)
  , observer_(aObserver)
  , nonce_(DrawNonce())
{
}

void
gpLinkSession::Start(boost::asio::ip::tcp::socket aSocket)
{
  const gpLinkConnection::Limits limits{ kHelloBytes,
                                         context_.settings_.sendBytes_ };
  connection_ = std::make_shared<gpLinkConnection>(
    std::move(aSocket), limits, MakeHandlers());
  Arm(gpEventLoop::Now() + context_.settings_.connectTimeout_);
  connection_->Start();
  if (!dialed_) {
    SendHello(0);
  }
}

gpLinkConnection::Handlers
gpLinkSession::MakeHandlers()
{
  const auto weak = weak_from_this();
  gpLinkConnection::Handlers handlers;
  handlers.payload_ = [weak](std::string_view aBytes) {
    if (const auto self = weak.lock()) {
      self->OnPayload(aBytes);
    }
  };
  handlers.written_ = [weak]() {
    if (const auto self = weak.lock()) {
      self->observer_.OnLinkWritten(*self);
    }
  };
  handlers.buffered_ = [weak]() {
    if (const auto self = weak.lock()) {
      self->observer_.OnLinkBuffered(*self);
    }
  };
  handlers.closed_ = [weak](gpErrorCode aCode) {
    if (const auto self = weak.lock()) {
      self->Fail(aCode);
    }
  };
  return handlers;
}

bool
gpLinkSession::Queue(gpMessage aMessage)
{
  queue_.push_back(std::move(aMessage));
  return queue_.size() == 1;
}

void
gpLinkSession::SendQueued()
{
  const std::vector<gpMessage> messages = std::exchange(queue_, {});
  std::span<const gpMessage> rest = messages;
  while (state_ == State::Up && !rest.empty()) {
    rest = rest.subspan(SendFrame(rest));
  }
}

std::size_t
gpLinkSession::SendFrame(std::span<const gpMessage> aMessages)
{
  const std::size_t limit = context_.settings_.frameBytes_;
  const std::size_t softLimit = std::min(kSoftFrameBytes, limit / 2);
  const gpFrameHeader header{ linkNumber_,
                              ++framesSent_,
                              context_.clock_.Tick() };
  gpEncodedFrame frame =
    gpFrameCodec::EncodeFrame(header, aMessages, softLimit);
  if (frame.bytes_.size() > limit && frame.messageCount_ > 1) {
    // The last message made the frame too large; send that one separately.
    frame = gpFrameCodec::EncodeFrame(
      header, aMessages.first(frame.messageCount_ - 1), softLimit);
  }
  if (frame.bytes_.size() > limit) {
    Fail(gpErrorCode::FrameTooLarge);
    return frame.messageCount_;
  }
  context_.counts_.framesSent_ += 1;
  context_.counts_.messagesSent_ += frame.messageCount_;
  context_.counts_.bytesSent_ +=
    frame.bytes_.size() + gpLinkConnection::kPrefixBytes;
  lastSent_ = gpEventLoop::Now();
  connection_->Send(std::move(frame.bytes_));
  return frame.messageCount_;
}

void
gpLinkSession::SendHello(std::uint64_t aEcho)
{
  const gpHello hello{
    gpFrameCodec::kProtocolVersion, context_.self_, nonce_, aEcho
  };
  std::string bytes = gpFrameCodec::EncodeHello(hello);
  context_.counts_.bytesSent_ += bytes.size() + gpLinkConnection::kPrefixBytes;
  connection_->Send(std::move(bytes));
}

void
gpLinkSession::OnPayload(std::string_view aBytes)
{
  context_.counts_.bytesReceived_ +=
    aBytes.size() + gpLinkConnection::kPrefixBytes;
  if (state_ == State::Handshake) {
    OnHello(aBytes);
  } else if (state_ == State::Up) {
    OnFrame(aBytes);
  }
}

void
gpLinkSession::OnHello(std::string_view aBytes)
{
  const absl::StatusOr<gpHello> hello = gpFrameCodec::DecodeHello(aBytes);
  const gpErrorCode code =
    hello.ok() ? CheckHello(*hello) : gpErrorCodeOf(hello.status());
  if (code != gpErrorCode::None) {
    Fail(code);
    return;
  }
  peer_ = hello->peer_;
  linkNumber_ = nonce_ ^ hello->nonce_;
  if (dialed_) {
    SendHello(hello->nonce_);
  }
  if (state_ == State::Closed) {
    return; // the memory of all links together has run out
  }
  connection_->SetPayloadLimit(context_.settings_.frameBytes_);
  state_ = State::Up;
  wasUp_ = true;
  lastSent_ = gpEventLoop::Now();
  OnHeartbeatTimer(lastSent_);
  observer_.OnLinkUp(*this);
}

gpErrorCode
gpLinkSession::CheckHello(const gpHello& aHello) const
{
  if (aHello.protocol_ != gpFrameCodec::kProtocolVersion) {
    return gpErrorCode::ProtocolMismatch;
  }
  const std::uint64_t expected = dialed_ ? 0 : nonce_;
  return aHello.echo_ == expected ? gpErrorCode::None
                                  : gpErrorCode::ReplayedLink;
}

void
gpLinkSession::OnFrame(std::string_view aBytes)
{
  absl::StatusOr<gpFrame> frame = gpFrameCodec::DecodeFrame(aBytes);
  const gpErrorCode code =
    frame.ok() ? CheckFrame(*frame) : gpErrorCodeOf(frame.status());
  if (code != gpErrorCode::None) {
    Fail(code);
    return;
  }
  ++framesReceived_;
  context_.clock_.Observe(frame->header_.clock_);
  context_.counts_.framesReceived_ += 1;
  for (gpMessage& message : frame->messages_) {
    context_.counts_.messagesReceived_ += 1;
    observer_.OnLinkMessage(*this, std::move(message));
    if (state_ != State::Up) {
      return; // the handler of the message has closed the link
    }
  }
}

gpErrorCode
gpLinkSession::CheckFrame(const gpFrame& aFrame) const
{
  if (aFrame.header_.link_ != linkNumber_) {
    return gpErrorCode::ReplayedLink;
  }
  return aFrame.header_.sequence_ == framesReceived_ + 1
           ? gpErrorCode::None
           : gpErrorCode::FrameOutOfOrder;
}

void
gpLinkSession::Arm(gpTime aWhen)
{
  context_.timers_.Cancel(timer_);
  timer_ = context_.timers_.Subscribe(aWhen, [weak = weak_from_this()]() {
    if (const auto self = weak.lock()) {
      self->OnTimer();
    }
  });
}

void
gpLinkSession::OnTimer()
{
  if (state_ == State::Handshake) {
    Fail(gpErrorCode::ConnectTimeout);
    return;
  }
  const gpTime now = gpEventLoop::Now();
  const gpTime silentAt =
    connection_->GetLastReceived() + context_.settings_.silence_;
  if (now < silentAt) {
    inReadGrace_ = false;
    OnHeartbeatTimer(now);
  } else if (!inReadGrace_) {
    inReadGrace_ = true;
    Arm(now + kReadGrace);
  } else {
    Fail(gpErrorCode::LinkSilent);
  }
}

void
gpLinkSession::OnHeartbeatTimer(gpTime aNow)
{
  const gpMillis heartbeat = context_.settings_.heartbeat_;
  if (aNow >= lastSent_ + heartbeat) {
    if (connection_->IsIdle()) {
      SendFrame({});
    } else {
      // Earlier frames are still being sent, and serve as heartbeats too.
      lastSent_ = aNow;
    }
  }
  if (state_ == State::Up) {
    Arm(std::min(
      gpTime(lastSent_ + heartbeat),
      gpTime(connection_->GetLastReceived() + context_.settings_.silence_)));
  }
}

void
gpLinkSession::Fail(gpErrorCode aCode)
{
  if (state_ == State::Closed) {
    return;
  }
  Close();
  observer_.OnLinkClosed(*this, aCode);
}

void
gpLinkSession::Close()
{
  state_ = State::Closed;
  context_.timers_.Cancel(timer_);
  connection_->Close();
}

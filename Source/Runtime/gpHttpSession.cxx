#include "gpHttpSession.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "gpEventLoop.h"
#include "gpHttpHeaders.h"

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

/// Each connection has a buffer of this size, also an idle one.
constexpr std::size_t kReadBufferBytes = 4U << 10U;
/// Bytes of pipelined requests that are buffered while one is being handled. If
/// a caller sends more, reading continues after the response.
constexpr std::size_t kMaxPipelinedBytes = 16U << 10U;
/// Memory that a field of a header takes besides its text.
constexpr std::size_t kFieldBytes = 96;
/// How long the session waits for the caller to close the connection after the
/// last response.
constexpr gpMillis kLingerTime{ 1000 };
/// How long a draining connection waits for a request that may be in transit.
constexpr gpMillis kDrainGracePeriod{ 500 };
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

enum class State
{
  Reading,   ///< waiting for a request or for the rest of one
  Handling,  ///< the request handler has the request
  Writing,   ///< the response is being written
  Lingering, ///< all is written; waits for the caller to close
  Closed,    ///< the connection is closed
};

gpHttpRefusal
ToRefusal(const error_code& aError)
{
  if (aError == http::error::header_limit) {
    return gpHttpRefusal::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return gpHttpRefusal::BodyTooLarge;
  }
  return gpHttpRefusal::Malformed;
}

std::string_view
ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

gpHttpRequest
ToRequest(http::request<http::string_body> aMessage)
{
  gpHttpRequest request;
  request.method_ = ToView(aMessage.method_string());
  request.target_ = ToView(aMessage.target());
  for (const auto& field : aMessage) {
    gpAddHeader(
      request.headers_, ToView(field.name_string()), ToView(field.value()));
  }
  request.body_ = std::move(aMessage.body());
  return request;
}

} // namespace

struct gpHttpSession::Impl : std::enable_shared_from_this<Impl>
{
  Impl(gpHttpSession& aSession,
       tcp::socket aSocket,
       const gpHttpLimits& aLimits,
       std::weak_ptr<gpHttpSessionOwner> aOwner)
    : session_(&aSession)
    , socket_(std::move(aSocket))
    , limits_(aLimits)
    , owner_(std::move(aOwner))
  {
  }

  void ExpectRequest();
  void Read();
  void OnRead(const error_code& aError, std::size_t aBytes);
  void OnReadEnd();
  void Parse();
  void SendContinue();
  void HandleRequest();
  void Refuse(gpHttpRefusal aRefusal);
  std::size_t CountRequestBytes() const;
  /// Tells the owner what is kept for the caller; returns false if all sessions
  /// together keep too much.
  bool ReportKept();
  void ReportWaiting(bool aIsWaiting);
  void CheckDeadline(gpTime aNow);
  void Write(gpHttpResponse aResponse, bool aKeep);
  void OnWritten(const error_code& aError, bool aKeep);
  void Linger();
  void ReportFinished();
  void Close();
  void SetDeadline(gpMillis aTime) { deadline_ = gpEventLoop::Now() + aTime; }

  /// Null once the session object has been destroyed; pending operations keep
  /// this object alive longer.
  gpHttpSession* session_;
  tcp::socket socket_;
  gpHttpLimits limits_;
  std::weak_ptr<gpHttpSessionOwner> owner_;
  State state_ = State::Reading;
  gpTime deadline_ = gpTime::max();
  std::array<char, kReadBufferBytes> chunk_{};
  /// Received bytes that the parser has not consumed.
  std::string input_;
  /// Not set before the first byte of a request.
  std::optional<Parser> parser_;
  /// Size of the header of the request that is being read, once it's complete.
  std::size_t headerBytes_ = 0;
  /// Memory of the request that is being handled.
  std::size_t handledBytes_ = 0;
  http::response<http::string_body> response_;
  bool reading_ = false;
  /// Nothing is read before the next request is expected, as all sessions
  /// together keep too much.
  bool paused_ = false;
  bool reportedWaiting_ = false;
  bool inputEnded_ = false;
  bool requestStarted_ = false;
  bool sentContinue_ = false;
  /// No further request will be read; what still arrives is dropped.
  bool dropsInput_ = false;
  bool keepAlive_ = false;
  bool isHead_ = false;
  bool draining_ = false;
  bool reportedFinished_ = false;
};

void
gpHttpSession::Impl::ExpectRequest()
{
  state_ = State::Reading;
  requestStarted_ = false;
  sentContinue_ = false;
  paused_ = false;
  ReportWaiting(true);
  SetDeadline(draining_ ? kDrainGracePeriod : limits_.idleTime_);
  if (!input_.empty()) {
    Parse();
  } else {
    ReportKept();
  }
  Read();
}

void
gpHttpSession::Impl::Read()
{
  const bool isBusy = state_ == State::Handling || state_ == State::Writing;
  const bool isFull = isBusy && input_.size() >= kMaxPipelinedBytes;
  if (reading_ || inputEnded_ || isFull || paused_ || state_ == State::Closed) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    boost::asio::buffer(chunk_),
    [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
gpHttpSession::Impl::OnRead(const error_code& aError, std::size_t aBytes)
{
  reading_ = false;
  if (state_ == State::Closed) {
    return;
  }
  if (aError) {
    OnReadEnd();
    return;
  }
  if (!dropsInput_) {
    input_.append(chunk_.data(), aBytes);
  }
  if (state_ == State::Reading) {
    Parse();
  } else {
    paused_ = !ReportKept();
  }
  Read();
}

void
gpHttpSession::Impl::OnReadEnd()
{
  inputEnded_ = true;
  if (state_ == State::Writing) {
    return;
  }
  const bool isHandling = state_ == State::Handling;
  const auto owner = owner_.lock();
  if (isHandling && owner && session_ != nullptr) {
    owner->OnCallerDisconnected(*session_);
  }
  Close();
}

void
gpHttpSession::Impl::Parse()
{
  if (!requestStarted_) {
    requestStarted_ = true;
    SetDeadline(limits_.requestTime_);
    headerBytes_ = 0;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes_));
    parser_->body_limit(limits_.bodyBytes_);
  }
  error_code error;
  const bool wasHeaderDone = parser_->is_header_done();
  const std::size_t used = parser_->put(boost::asio::buffer(input_), error);
  input_.erase(0, used);
  if (!wasHeaderDone) {
    headerBytes_ = std::min(used, limits_.headerBytes_);
  }
  if (error && error != http::error::need_more) {
    Refuse(ToRefusal(error));
  } else if (!parser_->is_done() && input_.size() > limits_.headerBytes_) {
    // The parser takes trailers, and the size and extensions of a chunk, only
    // when they are complete. Its limits don't hold for them.
    Refuse(gpHttpRefusal::HeaderTooLarge);
  } else if (!ReportKept()) {
    Refuse(gpHttpRefusal::TooMuchMemory);
  } else if (parser_->is_done()) {
    HandleRequest();
  } else if (parser_->is_header_done()) {
    SendContinue();
  }
}

void
gpHttpSession::Impl::Refuse(gpHttpRefusal aRefusal)
{
  Write(gpRefuseRequest(aRefusal), false);
}

std::size_t
gpHttpSession::Impl::CountRequestBytes() const
{
  if (!parser_.has_value() || !parser_->is_header_done()) {
    return 0;
  }
  const auto& message = parser_->get();
  const auto fields = std::distance(message.begin(), message.end());
  return headerBytes_ + static_cast<std::size_t>(fields) * kFieldBytes +
         message.body().capacity();
}

bool
gpHttpSession::Impl::ReportKept()
{
  const auto owner = owner_.lock();
  return !owner || session_ == nullptr ||
         owner->OnKept(*session_,
                       input_.size() + CountRequestBytes() + handledBytes_ +
                         response_.body().size());
}

void
gpHttpSession::Impl::ReportWaiting(bool aIsWaiting)
{
  const auto owner = owner_.lock();
  if (std::exchange(reportedWaiting_, aIsWaiting) != aIsWaiting && owner &&
      session_ != nullptr) {
    owner->OnWaiting(*session_, aIsWaiting);
  }
}

void
gpHttpSession::Impl::SendContinue()
{
  const auto expect = parser_->get()[http::field::expect];
  if (sentContinue_ || !boost::beast::iequals(expect, "100-continue")) {
    return;
  }
  sentContinue_ = true;
  error_code error;
  socket_.non_blocking(true, error);
  const std::size_t written =
    socket_.write_some(boost::asio::buffer(kContinue), error);
  if (written != kContinue.size()) {
    Close();
  }
}

void
gpHttpSession::Impl::HandleRequest()
{
  state_ = State::Handling;
  ReportWaiting(false);
  deadline_ = gpTime::max();
  keepAlive_ = parser_->keep_alive();
  isHead_ = parser_->get().method() == http::verb::head;
  handledBytes_ = CountRequestBytes();
  gpHttpRequest request = ToRequest(parser_->release());
  parser_.reset();
  const auto owner = owner_.lock();
  if (owner && session_ != nullptr) {
    owner->OnRequest(*session_, std::move(request));
  }
}

void
gpHttpSession::Impl::Write(gpHttpResponse aResponse, bool aKeep)
{
  state_ = State::Writing;
  SetDeadline(limits_.idleTime_);
  parser_.reset();
  handledBytes_ = 0;
  if (!aKeep) {
    dropsInput_ = true;
    paused_ = false;
    input_ = {};
  }
  response_ = {};
  response_.version(11);
  response_.result(static_cast<unsigned>(aResponse.status_));
  response_.set(http::field::content_type, aResponse.contentType_);
  for (const auto& [name, value] : aResponse.headers_) {
    response_.set(name, value);
  }
  response_.keep_alive(aKeep);
  response_.content_length(aResponse.body_.size());
  if (!isHead_) {
    response_.body() = std::move(aResponse.body_);
  }
  ReportWaiting(false);
  ReportKept();
  http::async_write(socket_,
                    response_,
                    [self = shared_from_this(), aKeep](const error_code& aError,
                                                       std::size_t /*aBytes*/) {
                      self->OnWritten(aError, aKeep);
                    });
}

void
gpHttpSession::Impl::OnWritten(const error_code& aError, bool aKeep)
{
  response_ = {};
  if (state_ == State::Closed) {
    return;
  }
  if (aError) {
    Close();
  } else if (aKeep && !inputEnded_) {
    ExpectRequest();
  } else {
    Linger();
  }
}

/// Closing a socket that has unread bytes resets the connection, and the caller
/// could lose the response. So only the sending direction is closed first.
void
gpHttpSession::Impl::Linger()
{
  state_ = State::Lingering;
  dropsInput_ = true;
  paused_ = false;
  input_ = {};
  ReportKept();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  ReportFinished();
  if (inputEnded_) {
    Close();
    return;
  }
  SetDeadline(kLingerTime);
  Read();
}

void
gpHttpSession::Impl::ReportFinished()
{
  const auto owner = owner_.lock();
  if (!std::exchange(reportedFinished_, true) && owner && session_ != nullptr) {
    owner->OnFinished(*session_);
  }
}

void
gpHttpSession::Impl::Close()
{
  if (state_ == State::Closed) {
    return;
  }
  state_ = State::Closed;
  error_code ignored;
  socket_.close(ignored);
  // The pending operations, which end later, keep the rest of this object.
  parser_.reset();
  input_ = {};
  ReportFinished();
  const auto owner = owner_.lock();
  if (owner && session_ != nullptr) {
    owner->OnClosed(*session_);
  }
}

void
gpHttpSession::Impl::CheckDeadline(gpTime aNow)
{
  if (state_ == State::Writing || state_ == State::Lingering) {
    // Callers usually read a response before the first check.
    ReportWaiting(true);
  }
  if (aNow < deadline_) {
    return;
  }
  if (state_ == State::Reading && requestStarted_) {
    Refuse(gpHttpRefusal::TooSlow);
  } else {
    Close();
  }
}

gpHttpSession::gpHttpSession(tcp::socket aSocket,
                             const gpHttpLimits& aLimits,
                             std::weak_ptr<gpHttpSessionOwner> aOwner)
  : impl_(std::make_shared<Impl>(*this,
                                 std::move(aSocket),
                                 aLimits,
                                 std::move(aOwner)))
{
}

gpHttpSession::~gpHttpSession()
{
  impl_->session_ = nullptr;
  impl_->Close();
}

void
gpHttpSession::Start()
{
  error_code ignored;
  impl_->socket_.set_option(tcp::no_delay(true), ignored);
  impl_->ExpectRequest();
}

void
gpHttpSession::Refuse(gpHttpRefusal aRefusal)
{
  impl_->Refuse(aRefusal);
  impl_->Read();
}

void
gpHttpSession::Respond(gpHttpResponse aResponse, bool aMayKeep)
{
  if (impl_->state_ == State::Handling) {
    impl_->Write(std::move(aResponse),
                 aMayKeep && impl_->keepAlive_ && !impl_->draining_);
  }
}

bool
gpHttpSession::IsCallerDisconnected()
{
  char byte = 0;
  error_code error;
  impl_->socket_.non_blocking(true, error);
  impl_->socket_.receive(
    boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error && error != boost::asio::error::would_block;
}

void
gpHttpSession::Drain()
{
  impl_->draining_ = true;
  if (impl_->state_ == State::Reading && !impl_->requestStarted_) {
    impl_->SetDeadline(kDrainGracePeriod);
  }
}

void
gpHttpSession::Close()
{
  impl_->Close();
}

void
gpHttpSession::CheckDeadline(gpTime aNow)
{
  impl_->CheckDeadline(aNow);
}

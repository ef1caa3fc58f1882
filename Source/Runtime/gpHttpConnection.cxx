#include "gpHttpConnection.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "gpEndpoint.h"
#include "gpError.h"
#include "gpEventLoop.h"
#include "gpHttpHeaders.h"

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Message = http::request<http::span_body<const char>>;
using Parser = http::response_parser<http::string_body>;

constexpr std::size_t kReadBufferBytes = 8U << 10U;
/// Limits on a response; a larger one fails with HttpFailure.
constexpr std::uint32_t kMaxHeaderBytes = 16U << 10U;
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;
constexpr int kFirstFinalStatus = 200;

absl::Status
ConnectError(const error_code& aError)
{
  if (aError == boost::asio::error::timed_out) {
    return gpMakeError(gpErrorCode::ConnectTimeout, aError.message());
  }
  const bool isLocal = aError == boost::asio::error::no_descriptors;
  return gpMakeError(isLocal ? gpErrorCode::Io : gpErrorCode::ConnectRefused,
                     aError.message());
}

absl::Status
ExchangeError(const error_code& aError)
{
  return gpMakeError(gpErrorCode::HttpFailure, aError.message());
}

std::string_view
ToView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// The message refers to the body of the request, so the request must outlive
/// the message.
Message
ToMessage(const gpHttpRequest& aRequest, const std::string& aHost)
{
  Message message;
  message.version(11);
  message.method_string(aRequest.method_);
  message.target(aRequest.target_);
  message.set(http::field::host, aHost);
  for (const auto& [name, value] : aRequest.headers_) {
    message.set(name, value);
  }
  message.body() = { aRequest.body_.data(), aRequest.body_.size() };
  message.prepare_payload();
  return message;
}

gpHttpResponse
ToResponse(http::response<http::string_body> aMessage)
{
  gpHttpResponse response;
  response.status_ = static_cast<int>(aMessage.result_int());
  response.contentType_ = ToView(aMessage[http::field::content_type]);
  for (const auto& field : aMessage) {
    if (field.name() != http::field::content_type) {
      gpAddHeader(
        response.headers_, ToView(field.name_string()), ToView(field.value()));
    }
  }
  response.body_ = std::move(aMessage.body());
  return response;
}

} // namespace

struct gpHttpConnection::Impl : std::enable_shared_from_this<Impl>
{
  Impl(boost::asio::io_context& aIo, const tcp::endpoint& aServer)
    : socket_(aIo)
    , server_(aServer)
    , host_(gpEndpointAddress(aServer).value_)
  {
  }

  void Connect();
  void OnConnected(const error_code& aError);
  void Send();
  void OnWritten(const error_code& aError, std::size_t aBytes);
  void Read();
  void OnRead(const error_code& aError, std::size_t aBytes);
  void OnReadEnd(const error_code& aError);
  void ExpectResponse();
  void Parse();
  void FinishResponse();
  void Fail(absl::Status aStatus);
  void Finish(absl::StatusOr<gpHttpResponse> aResponse, bool aIsReusable);
  void Close();
  gpMicros GetElapsed() const;

  tcp::socket socket_;
  tcp::endpoint server_;
  std::string host_;
  std::shared_ptr<const gpHttpRequest> request_;
  /// Set while an exchange is running.
  Handler handler_;
  Message message_;
  std::array<char, kReadBufferBytes> chunk_{};
  std::string input_;
  std::optional<Parser> parser_;
  gpTime sendStart_;
  bool connected_ = false;
  bool closed_ = false;
  bool sent_ = false;
  bool writing_ = false;
  bool reading_ = false;
};

void
gpHttpConnection::Impl::Connect()
{
  socket_.async_connect(server_,
                        [self = shared_from_this()](const error_code& aError) {
                          self->OnConnected(aError);
                        });
}

void
gpHttpConnection::Impl::OnConnected(const error_code& aError)
{
  if (closed_) {
    return;
  }
  if (aError) {
    Fail(ConnectError(aError));
    return;
  }
  connected_ = true;
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  Send();
}

void
gpHttpConnection::Impl::Send()
{
  sendStart_ = gpEventLoop::Now();
  sent_ = true;
  writing_ = true;
  ExpectResponse();
  message_ = ToMessage(*request_, host_);
  http::async_write(socket_,
                    message_,
                    [self = shared_from_this(), request = request_](
                      const error_code& aError, std::size_t aBytes) {
                      self->OnWritten(aError, aBytes);
                    });
  Read();
}

void
gpHttpConnection::Impl::OnWritten(const error_code& aError, std::size_t aBytes)
{
  writing_ = false;
  if (closed_ || !aError) {
    return;
  }
  if (aBytes == 0) {
    sent_ = false;
    Fail(ExchangeError(aError));
  }
  // Otherwise the server may have responded before it closed the connection, so
  // the pending read decides the result.
}

void
gpHttpConnection::Impl::Read()
{
  if (reading_ || closed_) {
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
gpHttpConnection::Impl::OnRead(const error_code& aError, std::size_t aBytes)
{
  reading_ = false;
  if (closed_) {
    return;
  }
  if (aError) {
    OnReadEnd(aError);
    return;
  }
  if (!handler_) {
    // No request is pending, so these bytes belong to no response.
    Close();
    return;
  }
  input_.append(chunk_.data(), aBytes);
  Parse();
  Read();
}

void
gpHttpConnection::Impl::OnReadEnd(const error_code& aError)
{
  if (!handler_) {
    Close();
    return;
  }
  error_code error = aError;
  if (aError == boost::asio::error::eof && parser_->got_some()) {
    // A body without a declared length ends when the connection is closed.
    parser_->put_eof(error);
  }
  if (error) {
    Fail(ExchangeError(error));
  } else {
    Finish(ToResponse(parser_->release()), false);
  }
}

void
gpHttpConnection::Impl::ExpectResponse()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  parser_->skip(request_->method_ == "HEAD");
}

void
gpHttpConnection::Impl::Parse()
{
  while (handler_ && !input_.empty()) {
    error_code error;
    const std::size_t used = parser_->put(boost::asio::buffer(input_), error);
    input_.erase(0, used);
    if (error == http::error::need_more && input_.size() > kMaxHeaderBytes) {
      // Trailers, or the line before a chunk, that don't end. The limits of the
      // parser don't hold for them.
      error = http::error::header_limit;
    }
    if (error == http::error::need_more) {
      return;
    }
    if (error) {
      Fail(ExchangeError(error));
      return;
    }
    if (!parser_->is_done()) {
      return;
    }
    if (parser_->get().result_int() < kFirstFinalStatus) {
      ExpectResponse();
    } else {
      FinishResponse();
    }
  }
}

void
gpHttpConnection::Impl::FinishResponse()
{
  // If the server responded before it had read the whole request, the rest of
  // the request is still being written, so the connection can't be reused.
  const bool isReusable = parser_->keep_alive() && !writing_ && input_.empty();
  Finish(ToResponse(parser_->release()), isReusable);
}

void
gpHttpConnection::Impl::Fail(absl::Status aStatus)
{
  Finish(std::move(aStatus), false);
}

void
gpHttpConnection::Impl::Finish(absl::StatusOr<gpHttpResponse> aResponse,
                               bool aIsReusable)
{
  gpHttpReply reply{ std::move(aResponse), sent_, GetElapsed() };
  const Handler handler = std::exchange(handler_, nullptr);
  request_ = nullptr;
  sent_ = false;
  if (!aIsReusable) {
    Close();
  }
  handler(std::move(reply), aIsReusable);
}

void
gpHttpConnection::Impl::Close()
{
  closed_ = true;
  handler_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

gpMicros
gpHttpConnection::Impl::GetElapsed() const
{
  return sent_ ? gpEventLoop::Now() - sendStart_ : gpMicros{ 0 };
}

gpHttpConnection::gpHttpConnection(boost::asio::io_context& aIo,
                                   const tcp::endpoint& aServer)
  : impl_(std::make_shared<Impl>(aIo, aServer))
{
}

gpHttpConnection::~gpHttpConnection()
{
  impl_->Close();
}

void
gpHttpConnection::Exchange(std::shared_ptr<const gpHttpRequest> aRequest,
                           Handler aHandler)
{
  impl_->request_ = std::move(aRequest);
  impl_->handler_ = std::move(aHandler);
  if (impl_->connected_) {
    impl_->Send();
  } else {
    impl_->Connect();
  }
}

void
gpHttpConnection::Close()
{
  impl_->Close();
}

bool
gpHttpConnection::IsUsable()
{
  if (impl_->closed_) {
    return false;
  }
  char byte = 0;
  error_code error;
  impl_->socket_.non_blocking(true, error);
  impl_->socket_.receive(
    boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == boost::asio::error::would_block;
}

bool
gpHttpConnection::HasSent() const
{
  return impl_->sent_;
}

gpMicros
gpHttpConnection::GetElapsed() const
{
  return impl_->GetElapsed();
}

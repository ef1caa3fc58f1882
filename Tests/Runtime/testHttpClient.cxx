#define BOOST_TEST_MODULE gpHttpClient
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

#include "gpError.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpRawServer.h"
#include "gpTestLoop.h"

namespace {

constexpr gpMillis kLong{ 60000 };
constexpr gpMillis kShort{ 20 };
const std::string kOk =
  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-A: b\r\n"
  "Content-Length: 2\r\n\r\nok";

/// A client with one connection per address, and a server whose responses the
/// test sends.
struct Fixture
{
  Fixture() { server_.Listen(); }

  gpCallId Call(const std::string& aTarget, gpMillis aTimeout = kLong)
  {
    gpHttpRequest request;
    request.method_ = "POST";
    request.target_ = aTarget;
    request.headers_["x-caller"] = "c";
    request.body_ = "body";
    return client_->Call(
      server_.GetAddress(), request, aTimeout, [this](gpHttpReply aReply) {
        replies_.push_back(std::move(aReply));
      });
  }

  /// Waits until the server has received the whole request on this connection.
  void AwaitRequest(std::size_t aConnection, const std::string& aTarget)
  {
    gpRunUntil(loop_, [&] {
      const auto& received = server_.GetReceived();
      return received.size() > aConnection &&
             received[aConnection].find(aTarget) != std::string::npos &&
             received[aConnection].ends_with("body");
    });
  }

  const gpHttpReply& AwaitReply(std::size_t aIndex = 0)
  {
    gpRunUntil(loop_, [&] { return replies_.size() > aIndex; });
    return replies_[aIndex];
  }

  gpErrorCode CodeOf(std::size_t aIndex) const
  {
    return gpErrorCodeOf(replies_.at(aIndex).response_.status());
  }

  gpEventLoop loop_;
  std::optional<gpHttpClient> client_{ std::in_place, loop_, 1 };
  gpRawServer server_{ loop_ };
  std::vector<gpHttpReply> replies_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ConnectionsAreReused, Fixture)
{
  Call("/one");
  AwaitRequest(0, "POST /one HTTP/1.1\r\n");
  BOOST_TEST(server_.GetReceived()[0].find("x-caller: c\r\n") !=
             std::string::npos);
  server_.Send(0, kOk);
  const gpHttpReply& reply = AwaitReply();
  BOOST_TEST(reply.response_->status_ == 200);
  BOOST_TEST(reply.response_->contentType_ == "text/plain");
  BOOST_TEST(reply.response_->headers_.at("x-a") == "b");
  BOOST_TEST(reply.response_->body_ == "ok");
  BOOST_TEST(reply.sent_);
  Call("/two");
  AwaitRequest(0, "/two");
  server_.Send(0, kOk);
  AwaitReply(1);
  BOOST_TEST(server_.GetReceived().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CallsAreQueuedInOrder, Fixture)
{
  Call("/one");
  Call("/two");
  Call("/three");
  AwaitRequest(0, "/one");
  server_.Send(0, kOk);
  AwaitRequest(0, "/two");
  BOOST_TEST(server_.GetReceived()[0].find("/three") == std::string::npos);
  server_.Send(0, kOk);
  AwaitRequest(0, "/three");
  BOOST_TEST(server_.GetReceived().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AClosedIdleConnectionIsReplaced, Fixture)
{
  Call("/one");
  AwaitRequest(0, "/one");
  server_.Send(0, kOk);
  AwaitReply();
  server_.Close(0);
  Call("/two");
  AwaitRequest(1, "/two");
  server_.Send(1, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end");
  server_.Close(1);
  BOOST_TEST(AwaitReply(1).response_->body_ == "to the end");
  Call("/three");
  AwaitRequest(2, "/three");
}

BOOST_FIXTURE_TEST_CASE(ARefusedConnectionSendsNothing, Fixture)
{
  gpRawServer silent(loop_);
  client_->Call(silent.GetAddress(), {}, kLong, [this](gpHttpReply aReply) {
    replies_.push_back(std::move(aReply));
  });
  BOOST_TEST(!AwaitReply().sent_);
  BOOST_TEST((CodeOf(0) == gpErrorCode::ConnectRefused));
}

BOOST_FIXTURE_TEST_CASE(ABadAddressIsAnError, Fixture)
{
  client_->Call(gpAddress("here:80"), {}, kLong, [this](gpHttpReply aReply) {
    replies_.push_back(std::move(aReply));
  });
  BOOST_TEST(replies_.empty());
  BOOST_TEST(!AwaitReply().sent_);
  BOOST_TEST((CodeOf(0) == gpErrorCode::BadArgument));
}

BOOST_FIXTURE_TEST_CASE(AServerThatClosesMayHaveReceivedTheRequest, Fixture)
{
  Call("/one");
  AwaitRequest(0, "/one");
  server_.Close(0);
  BOOST_TEST(AwaitReply().sent_);
  BOOST_TEST((CodeOf(0) == gpErrorCode::HttpFailure));
  Call("/two");
  AwaitRequest(1, "/two");
  server_.Send(1, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
  server_.Close(1);
  BOOST_TEST(AwaitReply(1).sent_);
  BOOST_TEST((CodeOf(1) == gpErrorCode::HttpFailure));
  BOOST_TEST(server_.GetReceived().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnInvalidResponseIsAFailure, Fixture)
{
  Call("/one");
  AwaitRequest(0, "/one");
  server_.Send(0, "hello\r\n\r\n");
  BOOST_TEST(AwaitReply().sent_);
  BOOST_TEST((CodeOf(0) == gpErrorCode::HttpFailure));
}

BOOST_FIXTURE_TEST_CASE(AnInterimResponseIsSkipped, Fixture)
{
  Call("/one");
  AwaitRequest(0, "/one");
  server_.Send(0, "HTTP/1.1 100 Continue\r\n\r\n" + kOk);
  BOOST_TEST(AwaitReply().response_->status_ == 200);
}

BOOST_FIXTURE_TEST_CASE(TimeoutsCoverQueueingAndReading, Fixture)
{
  Call("/one", kLong);
  Call("/waits", kShort);
  BOOST_TEST(!AwaitReply().sent_);
  BOOST_TEST((CodeOf(0) == gpErrorCode::HttpTimeout));
  AwaitRequest(0, "/one");
  server_.Send(0, kOk);
  BOOST_TEST(AwaitReply(1).response_.ok());

  Call("/two", kShort);
  BOOST_TEST(AwaitReply(2).sent_);
  BOOST_TEST((CodeOf(2) == gpErrorCode::HttpTimeout));
  gpRunUntil(loop_, [&] { return server_.IsClosedByPeer(0); });
}

BOOST_FIXTURE_TEST_CASE(CancelClosesAndStartsTheNext, Fixture)
{
  const gpCallId first = Call("/one");
  const gpCallId second = Call("/two");
  Call("/three");
  AwaitRequest(0, "/one");
  client_->Cancel(second);
  client_->Cancel(first);
  AwaitRequest(1, "/three");
  gpRunUntil(loop_, [&] { return server_.IsClosedByPeer(0); });
  server_.Send(1, kOk);
  BOOST_TEST(AwaitReply().response_.ok());
  client_->Cancel(first);
  BOOST_TEST(replies_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ADestroyedClientClosesItsConnections, Fixture)
{
  Call("/one");
  AwaitRequest(0, "/one");
  client_.reset();
  gpRunUntil(loop_, [&] { return server_.IsClosedByPeer(0); });
  BOOST_TEST(replies_.empty());
}

// A server that never ends the trailers of its response must not fill the
// memory of this process.
BOOST_FIXTURE_TEST_CASE(TrailersWithoutEndFailTheCall, Fixture)
{
  Call("/a");
  AwaitRequest(0, "/a");
  server_.Send(0,
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\nX: " +
                 std::string(40000, 'x'));
  AwaitReply();
  BOOST_TEST((CodeOf(0) == gpErrorCode::HttpFailure));
}

#define BOOST_TEST_MODULE gpHttpServer
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

#include "gpError.h"
#include "gpEventLoop.h"
#include "gpHttpServer.h"
#include "gpRawCaller.h"
#include "gpTestLoop.h"

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::string
Post(const std::string& aBody)
{
  return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

gpHttpResponse
Answer(const std::string& aBody)
{
  gpHttpResponse response;
  response.body_ = aBody;
  return response;
}

std::string
StatusLine(const std::string& aResponse)
{
  return aResponse.substr(0, aResponse.find("\r\n"));
}

/// A server that records its requests; the test answers them.
struct Fixture
{
  Fixture()
    : Fixture(gpHttpLimits())
  {
  }

  explicit Fixture(const gpHttpLimits& aLimits)
  {
    server_.emplace(
      loop_,
      aLimits,
      gpHttpServer::Handlers{
        [this](gpRequestId aId, const gpHttpRequest& aRequest) {
          ids_.push_back(aId);
          requests_.push_back(aRequest);
        },
        [this](gpRequestId aId) { disconnected_.push_back(aId); },
        [this](gpHttpLimitKind aLimit) { limits_.push_back(aLimit); } });
    address_ = *server_->Listen(gpAddress("127.0.0.1:0"));
  }

  void AwaitRequests(std::size_t aCount)
  {
    gpRunUntil(loop_, [&] { return ids_.size() >= aCount; });
  }

  std::string ReadRefusal(const std::string& aRequest)
  {
    gpRawCaller caller(loop_, address_);
    caller.Send(aRequest);
    return caller.ReadToEnd();
  }

  gpEventLoop loop_;
  std::optional<gpHttpServer> server_;
  gpAddress address_;
  std::vector<gpRequestId> ids_;
  std::vector<gpHttpRequest> requests_;
  std::vector<gpRequestId> disconnected_;
  std::vector<gpHttpLimitKind> limits_;
};

gpHttpLimits
SmallLimits()
{
  gpHttpLimits limits;
  limits.headerBytes_ = 256;
  limits.bodyBytes_ = 100;
  limits.requestTime_ = gpMillis{ 40 };
  return limits;
}

struct SmallFixture : Fixture
{
  SmallFixture()
    : Fixture(SmallLimits())
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TwoRequestsOnOneConnection, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send("POST /p?x=1 HTTP/1.1\r\nHost: h\r\nX-Two: a\r\nx-two: b\r\n"
              "Content-Length: 3\r\n\r\none");
  AwaitRequests(1);
  BOOST_TEST(requests_[0].method_ == "POST");
  BOOST_TEST(requests_[0].target_ == "/p?x=1");
  BOOST_TEST(requests_[0].headers_.at("x-two") == "a, b");
  BOOST_TEST(requests_[0].body_ == "one");
  gpHttpResponse response = Answer("first");
  response.status_ = 201;
  response.headers_["retry-after"] = "2";
  server_->Respond(ids_[0], response);
  const std::string first = caller.ReadUntil("first");
  BOOST_TEST(StatusLine(first) == "HTTP/1.1 201 Created");
  BOOST_TEST(first.find("retry-after: 2\r\n") != std::string::npos);

  caller.Send(kGet);
  AwaitRequests(2);
  BOOST_TEST((ids_[0] != ids_[1]));
  server_->Respond(ids_[1], Answer("second"));
  BOOST_TEST(StatusLine(caller.ReadUntil("second")) == "HTTP/1.1 200 OK");
}

BOOST_FIXTURE_TEST_CASE(AnswersMayBeGivenLaterAndOutOfOrder, Fixture)
{
  gpRawCaller first(loop_, address_);
  first.Send(kGet);
  AwaitRequests(1);
  gpRawCaller second(loop_, address_);
  second.Send(kGet);
  AwaitRequests(2);
  server_->Respond(ids_[1], Answer("two"));
  BOOST_TEST(second.ReadUntil("two").ends_with("\r\n\r\ntwo"));
  server_->Respond(ids_[0], Answer("one"));
  BOOST_TEST(first.ReadUntil("one").ends_with("\r\n\r\none"));
}

BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreServedInOrder, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(Post("1") + Post("2"));
  AwaitRequests(1);
  BOOST_TEST(ids_.size() == 1U);
  server_->Respond(ids_[0], Answer("one"));
  AwaitRequests(2);
  BOOST_TEST(requests_[1].body_ == "2");
  server_->Respond(ids_[1], Answer("two"));
  BOOST_TEST(caller.ReadUntil("two").find("one") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ACallerThatClosesIsReported, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(kGet);
  AwaitRequests(1);
  caller.Close();
  gpRunUntil(loop_, [&] { return !disconnected_.empty(); });
  BOOST_TEST((disconnected_[0] == ids_[0]));
  server_->Respond(ids_[0], Answer("too late"));
}

BOOST_FIXTURE_TEST_CASE(AnAnsweredCallerThatClosesIsNotReported, Fixture)
{
  gpRawCaller first(loop_, address_);
  first.Send(kGet);
  AwaitRequests(1);
  server_->Respond(ids_[0], Answer("x"));
  first.Close();
  gpRawCaller second(loop_, address_);
  second.Send(kGet);
  AwaitRequests(2);
  second.Close();
  gpRunUntil(loop_, [&] { return !disconnected_.empty(); });
  BOOST_TEST(disconnected_.size() == 1U);
  BOOST_TEST((disconnected_[0] == ids_[1]));
}

BOOST_FIXTURE_TEST_CASE(TooLargeOrMalformedIsRefused, SmallFixture)
{
  const std::string tooLongBody = ReadRefusal(Post(std::string(101, 'x')));
  BOOST_TEST(StatusLine(tooLongBody) == "HTTP/1.1 413 Payload Too Large");
  BOOST_TEST(tooLongBody.find("\"code\":\"request_too_large\"") !=
             std::string::npos);
  BOOST_TEST(tooLongBody.find("\"outcome\":\"not_run\"") != std::string::npos);

  const std::string header = "X: " + std::string(300, 'x') + "\r\n\r\n";
  const std::string tooLongHeader = ReadRefusal("GET / HTTP/1.1\r\n" + header);
  BOOST_TEST(StatusLine(tooLongHeader) ==
             "HTTP/1.1 431 Request Header Fields Too Large");

  const std::string noHttp = ReadRefusal("hello\r\n\r\n");
  BOOST_TEST(StatusLine(noHttp) == "HTTP/1.1 400 Bad Request");
  BOOST_TEST(ids_.empty());
}

BOOST_FIXTURE_TEST_CASE(AnOversizedChunkedBodyIsRefused, SmallFixture)
{
  const std::string answer =
    ReadRefusal("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" +
                std::string(128, 'x') + "\r\n0\r\n\r\n");
  BOOST_TEST(StatusLine(answer) == "HTTP/1.1 413 Payload Too Large");
}

// The parser takes trailers and the lines before chunks only when they are
// complete, and its limits don't hold for them until then.
BOOST_FIXTURE_TEST_CASE(TrailersAndChunkLinesWithoutEndAreRefused, SmallFixture)
{
  const std::string head =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& rest : { "0\r\nX: " + std::string(400, 'x'),
                                   "1;e=" + std::string(400, 'x'),
                                   std::string(400, '0') }) {
    BOOST_TEST(StatusLine(ReadRefusal(head + rest)) ==
               "HTTP/1.1 431 Request Header Fields Too Large");
  }
  BOOST_TEST(ids_.empty());
}

BOOST_FIXTURE_TEST_CASE(TrailersWithinTheLimitAreAccepted, SmallFixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2;e=f\r\nab\r\n0\r\nX: y\r\n\r\n");
  AwaitRequests(1);
  BOOST_TEST(requests_[0].body_ == "ab");
}

BOOST_FIXTURE_TEST_CASE(ASlowCallerDoesNotDelayOthers, SmallFixture)
{
  gpRawCaller slow(loop_, address_);
  const std::string request = Post("slow");
  slow.Send(request.substr(0, 1));
  for (std::size_t i = 1; i + 1 < request.size(); ++i) {
    slow.Send(request.substr(i, 1));
    gpRawCaller quick(loop_, address_);
    quick.Send(kGet);
    AwaitRequests(i);
    BOOST_TEST(requests_.back().target_ == "/a");
    server_->Respond(ids_.back(), Answer("quick"));
    BOOST_TEST(quick.ReadUntil("quick").ends_with("quick"));
  }
  BOOST_TEST(StatusLine(slow.ReadToEnd()) == "HTTP/1.1 408 Request Timeout");
}

BOOST_FIXTURE_TEST_CASE(ACallerMayWaitForContinue, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  BOOST_TEST(caller.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("ab");
  AwaitRequests(1);
  BOOST_TEST(requests_[0].body_ == "ab");
}

BOOST_AUTO_TEST_CASE(AnIdleConnectionIsClosed)
{
  gpHttpLimits limits;
  limits.idleTime_ = gpMillis{ 10 };
  Fixture fixture(limits);
  gpRawCaller caller(fixture.loop_, fixture.address_);
  BOOST_TEST(caller.ReadToEnd().empty());
}

BOOST_AUTO_TEST_CASE(ConnectionsOverTheLimitAreRefused)
{
  gpHttpLimits limits;
  limits.connections_ = 1;
  Fixture fixture(limits);
  gpRawCaller first(fixture.loop_, fixture.address_);
  first.Send(kGet);
  fixture.AwaitRequests(1);
  gpRawCaller second(fixture.loop_, fixture.address_);
  const std::string refusal = second.ReadToEnd();
  BOOST_TEST(StatusLine(refusal) == "HTTP/1.1 503 Service Unavailable");
  BOOST_TEST(refusal.find("retry-after: 1\r\n") != std::string::npos);
  fixture.server_->Respond(fixture.ids_[0], Answer("first"));
  BOOST_TEST(first.ReadUntil("first").ends_with("first"));
}

BOOST_AUTO_TEST_CASE(AFurtherConnectionTakesThePlaceOfTheLongestWaiting)
{
  gpHttpLimits limits;
  limits.connections_ = 2;
  Fixture fixture(limits);
  gpRawCaller busy(fixture.loop_, fixture.address_);
  busy.Send(kGet);
  fixture.AwaitRequests(1);
  gpRawCaller idle(fixture.loop_, fixture.address_);
  gpRawCaller third(fixture.loop_, fixture.address_);
  third.Send(kGet);
  fixture.AwaitRequests(2);
  BOOST_TEST(idle.ReadToEnd().empty());
  BOOST_TEST((fixture.limits_ == std::vector{ gpHttpLimitKind::Connections }));
  // The one that has a request is never closed.
  fixture.server_->Respond(fixture.ids_[0], Answer("busy"));
  BOOST_TEST(busy.ReadUntil("busy").ends_with("busy"));
  fixture.server_->Respond(fixture.ids_[1], Answer("third"));
  BOOST_TEST(third.ReadUntil("third").ends_with("third"));
}

namespace {

/// Limits that one request of kMostBody bytes fits into, but not two.
constexpr std::size_t kMostBody = 100'000;
/// What the header of a request and requests sent ahead may take besides.
constexpr std::size_t kHeaderRoom = 33'000;

gpHttpLimits
LittleMemory()
{
  gpHttpLimits limits;
  limits.bodyBytes_ = kMostBody;
  limits.memoryBytes_ = kMostBody + kHeaderRoom;
  return limits;
}

struct LittleMemoryFixture : Fixture
{
  LittleMemoryFixture()
    : Fixture(LittleMemory())
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TheLongestWaitingIsClosedWhenMemoryRunsOut,
                        LittleMemoryFixture)
{
  const std::string request = Post(std::string(kMostBody, 'x'));
  gpRawCaller slow(loop_, address_);
  slow.Send(request.substr(0, request.size() - 1));
  gpRawCaller idle(loop_, address_);
  gpRawCaller quick(loop_, address_);
  quick.Send(request);
  AwaitRequests(1);
  BOOST_TEST(requests_[0].body_.size() == kMostBody);
  BOOST_TEST(slow.ReadToEnd().empty());
  BOOST_TEST(!limits_.empty());
  BOOST_TEST((limits_[0] == gpHttpLimitKind::Memory));
  // A connection that keeps nothing isn't closed for memory.
  server_->Respond(ids_[0], Answer("quick"));
  BOOST_TEST(quick.ReadUntil("quick").ends_with("quick"));
  idle.Send(kGet);
  AwaitRequests(2);
}

BOOST_FIXTURE_TEST_CASE(ARequestIsRefusedWhenOthersTakeAllMemory,
                        LittleMemoryFixture)
{
  const std::string request = Post(std::string(kMostBody, 'x'));
  gpRawCaller first(loop_, address_);
  first.Send(request);
  AwaitRequests(1);
  const std::string refusal = ReadRefusal(request);
  BOOST_TEST(StatusLine(refusal) == "HTTP/1.1 503 Service Unavailable");
  BOOST_TEST(refusal.find("\"outcome\":\"not_run\"") != std::string::npos);
  BOOST_TEST(refusal.find("retry-after: 1\r\n") != std::string::npos);
  // When the first one has been answered, there's room again.
  server_->Respond(ids_[0], Answer("first"));
  BOOST_TEST(first.ReadUntil("first").ends_with("first"));
  gpRawCaller again(loop_, address_);
  again.Send(request);
  AwaitRequests(2);
}

// Requests that are sent ahead while another one is handled count too, and
// aren't read on when memory runs out; the one that is handled goes on.
BOOST_FIXTURE_TEST_CASE(RequestsSentAheadAreBounded, LittleMemoryFixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(kGet);
  AwaitRequests(1);
  const std::string request = Post(std::string(kMostBody, 'x'));
  caller.Send(request + request);
  server_->Respond(ids_[0], Answer("one"));
  BOOST_TEST(caller.ReadUntil("one").ends_with("one"));
  AwaitRequests(2);
  server_->Respond(ids_[1], Answer("two"));
  BOOST_TEST(caller.ReadUntil("two").ends_with("two"));
  AwaitRequests(3);
  BOOST_TEST(requests_[2].body_.size() == kMostBody);
}

BOOST_FIXTURE_TEST_CASE(DrainSendsCompleteAnswers, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(kGet);
  AwaitRequests(1);
  bool drained = false;
  server_->Drain([&] { drained = true; });
  const std::string body = std::string(8U << 20U, 'x') + "end";
  server_->Respond(ids_[0], Answer(body));
  const std::string answer = caller.ReadToEnd();
  BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(answer.ends_with("\r\n\r\n" + body));
  gpRunUntil(loop_, [&] { return drained; });
}

BOOST_FIXTURE_TEST_CASE(ADisconnectIsKnownWhenTheRequestArrives, Fixture)
{
  gpRawCaller stays(loop_, address_);
  stays.Send(kGet);
  AwaitRequests(1);
  BOOST_TEST(!server_->IsCallerDisconnected(ids_[0]));
  bool wasDisconnected = false;
  server_.emplace(loop_,
                  gpHttpLimits(),
                  gpHttpServer::Handlers{
                    [&](gpRequestId aId, const gpHttpRequest&) {
                      wasDisconnected = server_->IsCallerDisconnected(aId);
                      ids_.push_back(aId);
                    },
                    [](gpRequestId) {} });
  address_ = *server_->Listen(gpAddress("127.0.0.1:0"));
  {
    gpRawCaller leaves(loop_, address_);
    leaves.Send(kGet);
  }
  AwaitRequests(2);
  BOOST_TEST(wasDisconnected);
}

BOOST_FIXTURE_TEST_CASE(ConnectionsCloseAfterTheirNextAnswer, Fixture)
{
  gpRawCaller kept(loop_, address_);
  kept.Send(kGet);
  AwaitRequests(1);
  server_->Respond(ids_[0], Answer("one"));
  BOOST_TEST(kept.ReadUntil("one").find("close") == std::string::npos);
  server_->CloseAfterAnswers();
  // An idle connection stays open until its next request has been answered.
  kept.Send(kGet);
  AwaitRequests(2);
  server_->Respond(ids_[1], Answer("two"));
  const std::string last = kept.ReadToEnd();
  BOOST_TEST(last.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(last.ends_with("two"));
  gpRawCaller late(loop_, address_);
  late.Send(kGet);
  AwaitRequests(3);
  server_->Respond(ids_[2], Answer("three"));
  BOOST_TEST(late.ReadToEnd().ends_with("three"));
}

BOOST_FIXTURE_TEST_CASE(DrainServesConnectionsInTheBacklog, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(kGet);
  bool drained = false;
  server_->Drain([&] { drained = true; });
  AwaitRequests(1);
  BOOST_TEST(!drained);
  server_->Respond(ids_[0], Answer("served"));
  BOOST_TEST(caller.ReadToEnd().ends_with("served"));
  gpRunUntil(loop_, [&] { return drained; });
}

BOOST_FIXTURE_TEST_CASE(DrainClosesIdleConnections, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(kGet);
  AwaitRequests(1);
  server_->Respond(ids_[0], Answer("x"));
  caller.ReadUntil("x");
  bool drained = false;
  server_->Drain([&] { drained = true; });
  gpRunUntil(loop_, [&] { return drained; });
  BOOST_TEST(caller.ReadToEnd().empty());
}

BOOST_FIXTURE_TEST_CASE(AHandlerMayDestroyTheServer, Fixture)
{
  gpRawCaller caller(loop_, address_);
  caller.Send(kGet);
  AwaitRequests(1);
  server_->Drain([this] { server_.reset(); });
  server_->Respond(ids_[0], Answer("last"));
  BOOST_TEST(caller.ReadToEnd().ends_with("last"));
  gpRunUntil(loop_, [&] { return !server_.has_value(); });
}

BOOST_FIXTURE_TEST_CASE(AnAddressInUseIsAnError, Fixture)
{
  gpHttpServer other(loop_, gpHttpLimits(), {});
  const auto inUse = other.Listen(address_);
  BOOST_TEST((gpErrorCodeOf(inUse.status()) == gpErrorCode::Io));
  const auto noAddress = other.Listen(gpAddress("localhost:80"));
  BOOST_TEST((gpErrorCodeOf(noAddress.status()) == gpErrorCode::BadArgument));
}

#include <boost/test/unit_test.hpp>

#include <optional>

#include "gpEventLoop.h"
#include "gpHttpServer.h"
#include "gpPlatformTarget.h"
#include "gpTestLoop.h"

namespace {

/// The result of a poll of a worker that answers with this body.
gpPollReplied
Poll(const std::string& aBody)
{
  gpEventLoop loop;
  gpHttpServer* answering = nullptr;
  gpHttpServer server(loop,
                      {},
                      { [&](gpRequestId aRequest, const gpHttpRequest&) {
                         gpHttpResponse response;
                         response.body_ = aBody;
                         answering->Respond(aRequest, std::move(response));
                       },
                        [](gpRequestId) {} });
  answering = &server;
  const auto address = server.Listen(gpAddress("127.0.0.1:0"));
  BOOST_REQUIRE(address.ok());
  gpHttpClient client(loop, 1);
  gpPlatformTarget target(client, *address);
  std::optional<gpPollReplied> seen;
  target.Poll({}, [&](gpPollReplied aSeen) { seen = std::move(aSeen); });
  gpRunUntil(loop, [&] { return seen.has_value(); });
  return *seen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformTarget)

BOOST_AUTO_TEST_CASE(PollReportsRunningAndEndedRuns)
{
  const gpPollReplied seen =
    Poll(R"({"clockMs":7,"born":5,"running":[["a.0.0.0",2,"",10]],)"
         R"("finished":[[3,"b.0.0.1",1,"done",""]]})");
  BOOST_TEST((seen.reply_ == gpOrderReply::Accepted));
  BOOST_TEST(seen.clock_ == 7U);
  BOOST_TEST(seen.startTime_ == 5U);
  BOOST_REQUIRE(seen.running_.size() == 1U);
  BOOST_TEST((seen.running_[0] == gpRunId{ "a.0.0.0", 2 }));
  BOOST_REQUIRE(seen.ended_.size() == 1U);
  BOOST_TEST(seen.ended_[0].position_ == 3U);
  BOOST_TEST((seen.ended_[0].run_ == gpRunId{ "b.0.0.1", 1 }));
  BOOST_TEST((seen.ended_[0].end_ == gpRunEnd::Done));
}

BOOST_AUTO_TEST_CASE(SkipsInvalidRows)
{
  const gpPollReplied seen =
    Poll(R"({"running":[["a",-1],["b",1.5],["c"],5,["d",4]],)"
         R"("finished":[[-3,"e",1,"done",""],[4,"f",-1,"done",""],)"
         R"([5,"g",2,"failed",""]]})");
  BOOST_REQUIRE(seen.running_.size() == 1U);
  BOOST_TEST((seen.running_[0] == gpRunId{ "d", 4 }));
  BOOST_REQUIRE(seen.ended_.size() == 1U);
  BOOST_TEST((seen.ended_[0].run_ == gpRunId{ "g", 2 }));
}

BOOST_AUTO_TEST_SUITE_END()

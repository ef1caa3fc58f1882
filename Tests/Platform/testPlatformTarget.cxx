#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

#include "gpEventLoop.h"
#include "gpHttpServer.h"
#include "gpPlatformTarget.h"
#include "gpTestLoop.h"

namespace {

/// The result of a call to a worker that answers with this status and body.
template<typename Replied, typename MakeCall>
Replied
CallWorker(int aStatus, const std::string& aBody, MakeCall aCall)
{
  gpEventLoop loop;
  gpHttpServer* answering = nullptr;
  gpHttpServer server(loop,
                      {},
                      { [&](gpRequestId aRequest, const gpHttpRequest&) {
                         gpHttpResponse response;
                         response.status_ = aStatus;
                         response.body_ = aBody;
                         answering->Respond(aRequest, std::move(response));
                       },
                        [](gpRequestId) {} });
  answering = &server;
  const auto address = server.Listen(gpAddress("127.0.0.1:0"));
  BOOST_REQUIRE(address.ok());
  gpHttpClient client(loop, 1);
  gpPlatformTarget target(client, *address);
  std::optional<Replied> seen;
  aCall(target, [&](Replied aSeen) { seen = std::move(aSeen); });
  gpRunUntil(loop, [&] { return seen.has_value(); });
  return *seen;
}

gpPollReplied
Poll(const std::string& aBody, int aStatus = 200)
{
  return CallWorker<gpPollReplied>(
    aStatus, aBody, [](gpPlatformTarget& aTarget, auto aHandler) {
      aTarget.Poll({}, std::move(aHandler));
    });
}

gpTargetIdentified
Identify(const std::string& aBody, int aStatus = 200)
{
  return CallWorker<gpTargetIdentified>(
    aStatus, aBody, [](gpPlatformTarget& aTarget, auto aHandler) {
      aTarget.Identify({ "i-1", 7 }, std::move(aHandler));
    });
}

gpOrderReply
Start(const std::string& aBody, int aStatus = 200)
{
  return CallWorker<gpStartReplied>(
           aStatus,
           aBody,
           [](gpPlatformTarget& aTarget, auto aHandler) {
             aTarget.Start({}, std::move(aHandler));
           })
    .reply_;
}

gpOrderReply
Stop(const std::string& aBody, int aStatus = 200)
{
  return CallWorker<gpStopReplied>(
           aStatus,
           aBody,
           [](gpPlatformTarget& aTarget, auto aHandler) {
             aTarget.Stop({}, std::move(aHandler));
           })
    .reply_;
}

/// Answers to a hold that can't be read in full.
std::vector<std::string>
OddAnswers()
{
  const std::string good = R"(["a.0.0.0",2,"",10])";
  const std::string goodEnd = R"([3,"b.0.0.1",1,"done",""])";
  const auto make = [](const std::string& aClock,
                       const std::string& aRunning,
                       const std::string& aFinished) {
    return R"({"clockMs":)" + aClock + R"(,"born":5,"running":)" + aRunning +
           R"(,"finished":)" + aFinished + "}";
  };
  std::vector<std::string> answers = {
    "",
    "{}",
    "[]",
    "null",
    "\x01\xff",
    R"({"clockMs":7,"born":5})",
    R"({"clockMs":7,"born":5,"running":[]})",
    R"({"clockMs":7,"born":5,"finished":[]})",
    R"({"born":5,"running":[],"finished":[]})",
    R"({"clockMs":7,"born":1.5,"running":[],"finished":[]})",
    make("-1", "[]", "[]"),
    make("1.5", "[]", "[]"),
    make("1e400", "[]", "[]"),
    make("\"7\"", "[]", "[]"),
    make("7", "{}", "[]"),
    make("7", "null", "[]"),
    make("7", "[]", "null"),
    make("7", std::string(100000, '[') + std::string(100000, ']'), "[]"),
    make("7", "[]", std::string(100000, '[') + std::string(100000, ']')),
  };
  for (const char* row : { "5",
                           "null",
                           "[]",
                           R"(["c"])",
                           R"(["a",-1])",
                           R"(["b",1.5])",
                           R"(["b",1e400])",
                           R"(["b",18446744073709551616])",
                           R"(["b","1"])",
                           R"([7,1])",
                           "[\"\xff\",1]" }) {
    answers.push_back(make("7", "[" + good + "," + row + "]", "[]"));
  }
  for (const char* row : { "5",
                           "[]",
                           R"([4,"f",1])",
                           R"([-3,"e",1,"done",""])",
                           R"([4,"f",-1,"done",""])",
                           R"([4,"f",1,7,""])",
                           R"(["4","f",1,"done",""])",
                           R"([1e400,"f",1,"done",""])" }) {
    answers.push_back(
      make("7", "[" + good + "]", "[" + goodEnd + "," + row + "]"));
  }
  return answers;
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

BOOST_AUTO_TEST_CASE(AnAnswerThatCantBeReadInFullProvesNothing)
{
  for (const std::string& body : OddAnswers()) {
    BOOST_TEST_CONTEXT(body.substr(0, 200))
    {
      const gpPollReplied seen = Poll(body);
      BOOST_TEST((seen.reply_ == gpOrderReply::Silent));
      BOOST_TEST(seen.running_.empty());
      BOOST_TEST(seen.ended_.empty());
      BOOST_TEST(seen.startTime_ == 0U);
      const gpTargetIdentified identified = Identify(body);
      BOOST_TEST((identified.reply_ == gpOrderReply::Silent));
      BOOST_TEST(identified.startTime_ == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ListsWithHugeTextsAreRead)
{
  const std::string task(1U << 20U, 'a');
  const gpPollReplied seen =
    Poll(R"({"clockMs":7,"running":[[")" + task +
         R"(",18446744073709551615,"",1,0]],"finished":[],"more":null})");
  BOOST_TEST((seen.reply_ == gpOrderReply::Accepted));
  BOOST_REQUIRE(seen.running_.size() == 1U);
  BOOST_TEST((seen.running_[0] == gpRunId{ task, 18446744073709551615U }));
}

BOOST_AUTO_TEST_CASE(IdentifyReportsTheStartTime)
{
  const gpTargetIdentified seen =
    Identify(R"({"clockMs":7,"born":5,"running":[],"finished":[]})");
  BOOST_TEST((seen.reply_ == gpOrderReply::Accepted));
  BOOST_TEST(seen.startTime_ == 5U);
}

BOOST_AUTO_TEST_CASE(OnlyNamedStatusesProveThatNothingWasDone)
{
  const std::string body = R"({"clockMs":7})";
  for (const int status : { 400, 429, 503 }) {
    BOOST_TEST_CONTEXT(status)
    {
      BOOST_TEST((Start(body, status) == gpOrderReply::Unhealthy));
      BOOST_TEST((Stop(body, status) == gpOrderReply::Unhealthy));
      BOOST_TEST((Poll(body, status).reply_ == gpOrderReply::Unhealthy));
      BOOST_TEST((Identify(body, status).reply_ == gpOrderReply::Unhealthy));
    }
  }
  for (const int status : { 201, 202, 301, 404, 408, 410, 500, 502, 504 }) {
    BOOST_TEST_CONTEXT(status)
    {
      BOOST_TEST((Start(body, status) == gpOrderReply::Silent));
      BOOST_TEST((Stop(body, status) == gpOrderReply::Silent));
      BOOST_TEST((Poll(body, status).reply_ == gpOrderReply::Silent));
      BOOST_TEST((Identify(body, status).reply_ == gpOrderReply::Silent));
    }
  }
  BOOST_TEST((Start(body, 421) == gpOrderReply::OtherTarget));
  BOOST_TEST((Stop(R"({"reason":"fence"})", 409) == gpOrderReply::Fence));
  BOOST_TEST((Start(R"({"reason":"late"})", 409) == gpOrderReply::Late));
}

BOOST_AUTO_TEST_CASE(AnAcceptedOrderStaysAcceptedWhateverItsBody)
{
  for (const std::string& body : OddAnswers()) {
    BOOST_TEST_CONTEXT(body.substr(0, 200))
    {
      BOOST_TEST((Start(body) == gpOrderReply::Accepted));
      BOOST_TEST((Stop(body) == gpOrderReply::Accepted));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include "gpError.h"
#include "gpPlatformJobs.h"

namespace {

constexpr const char* kPath = "/hold/5c0e7a21d94b36f8";

gpHttpRequest
Submission(const std::string& aBody)
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = kPath;
  request.headers_ = { { "host", "ponds.example:8080" },
                       { "gypsumpoint-deadline-ms", "1500" } };
  request.body_ = aBody;
  return request;
}

gpErrorCode
ParseError(const std::string& aBody)
{
  return gpErrorCodeOf(gpPlatformJobs().Parse(Submission(aBody)).status());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformJobs)

BOOST_AUTO_TEST_CASE(ReadsASubmission)
{
  const auto call = gpPlatformJobs().Parse(
    Submission(R"({"spec":"s","bestEffort":true,"new":[1],"steps":[)"
               R"({"count":4,"cpu":500,"memMb":256,"estimateMs":900},)"
               R"({"cpu":2000,"dependsOn":[0]}]})"));
  BOOST_REQUIRE(call.ok());
  const auto* job = std::get_if<gpLeaseJob>(&*call);
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST(job->id_ == "5c0e7a21d94b36f8");
  BOOST_TEST(job->host_ == "ponds.example");
  BOOST_TEST(job->callerTimeout_.count() == 1500);
  BOOST_REQUIRE(job->steps_.size() == 2U);
  BOOST_TEST(job->steps_[0].count_ == 4U);
  BOOST_TEST(job->steps_[0].needs_.milliCores_ == 500U);
  BOOST_TEST(job->steps_[0].estimate_.count() == 900);
  BOOST_TEST(job->steps_[1].count_ == 1U);
  BOOST_TEST(job->steps_[1].dependsOn_.front() == 0U);
}

BOOST_AUTO_TEST_CASE(RefusesUnsupportedFeatures)
{
  using Code = gpErrorCode;
  BOOST_CHECK(ParseError(R"({"steps":[{"count":1}]})") == Code::Unsupported);
  BOOST_CHECK(
    ParseError(R"({"bestEffort":true,"repeatCount":3,"steps":[{}]})") ==
    Code::Unsupported);
  BOOST_CHECK(ParseError(R"({"bestEffort":true,"steps":[{"gang":true}]})") ==
              Code::Unsupported);
}

BOOST_AUTO_TEST_CASE(RefusesBadInput)
{
  for (const char* body : {
         "",
         "[]",
         R"({"bestEffort":true})",
         R"({"bestEffort":1,"steps":[{}]})",
         R"({"bestEffort":true,"steps":{}})",
         R"({"bestEffort":true,"steps":[{"count":0}]})",
         R"({"bestEffort":true,"steps":[{"count":-1}]})",
         R"({"bestEffort":true,"steps":[{"count":10001}]})",
         R"({"bestEffort":true,"steps":[{"cpu":"a"}]})",
         R"({"bestEffort":true,"steps":[{"cpu":1e30}]})",
         R"({"bestEffort":true,"steps":[{"dependsOn":[0]}]})",
         R"({"bestEffort":true,"steps":[{"dependsOn":["0"]}]})",
       }) {
    BOOST_TEST_CONTEXT(body)
    BOOST_CHECK(ParseError(body) == gpErrorCode::BadRequest);
  }
  gpHttpRequest other = Submission("{}");
  other.target_ = "/hold/short";
  BOOST_CHECK(gpErrorCodeOf(gpPlatformJobs().Parse(other).status()) ==
              gpErrorCode::NotFound);
}

BOOST_AUTO_TEST_CASE(RefusesNumbersOutOfRangeAndDeepNesting)
{
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  for (const char* field :
       { "count", "cpu", "memMb", "gpu", "estimateMs", "dependsOn" }) {
    for (const std::string& odd : { std::string("-1"),
                                    std::string("1.5"),
                                    std::string("1e400"),
                                    std::string("18446744073709551615"),
                                    std::string("null"),
                                    deep }) {
      BOOST_TEST_CONTEXT(field << " " << odd.substr(0, 50))
      {
        const std::string body = R"({"bestEffort":true,"steps":[{")";
        const gpErrorCode error =
          ParseError(absl::StrCat(body, field, "\":", odd, "}]}"));
        BOOST_CHECK(error == gpErrorCode::BadRequest);
      }
    }
  }
  BOOST_CHECK(ParseError(deep) == gpErrorCode::BadRequest);
  BOOST_CHECK(ParseError("{\"spec\":\"\xff\"}") == gpErrorCode::BadRequest);
}

BOOST_AUTO_TEST_CASE(DistinguishesStateCountAndCancelRequests)
{
  gpHttpRequest request = Submission("");
  request.method_ = "GET";
  BOOST_CHECK(
    std::holds_alternative<gpJobStateCall>(*gpPlatformJobs().Parse(request)));
  request.target_ = "/hold/";
  BOOST_CHECK(
    std::holds_alternative<gpPendingCall>(*gpPlatformJobs().Parse(request)));
  request.target_ = kPath;
  request.method_ = "DELETE";
  BOOST_CHECK(
    std::holds_alternative<gpJobCancelCall>(*gpPlatformJobs().Parse(request)));
}

BOOST_AUTO_TEST_CASE(RendersEachOutcome)
{
  const gpPlatformJobs jobs;
  using Outcome = gpLeaseOutcome;
  using Reason = gpLeaseReason;
  const auto done = jobs.Render({ Outcome::Completed, Reason::None, {} });
  BOOST_TEST(done.status_ == 200);
  BOOST_TEST(done.body_ == R"({"state":"completed"})");
  const auto failed = jobs.Render({ Outcome::Failed, Reason::TaskFailed, {} });
  BOOST_TEST(failed.body_ == R"({"state":"failed"})");
  // A job is "failed" only if a task has failed as often as the queue allows.
  const auto lost = jobs.Render({ Outcome::Failed, Reason::TargetLost, {} });
  BOOST_TEST(lost.status_ == 504);
  const auto busy =
    jobs.Render({ Outcome::NotRun, Reason::Overloaded, gpMillis(1200) });
  BOOST_TEST(busy.status_ == 429);
  BOOST_TEST(busy.headers_.at("retry-after") == "2");
  const auto early =
    jobs.Render({ Outcome::NotRun, Reason::NoConfiguration, gpMillis(1000) });
  BOOST_TEST(early.status_ == 503);
  BOOST_TEST(jobs.Render({ Outcome::NoQueue, Reason::None, {} }).status_ ==
             404);
}

BOOST_AUTO_TEST_SUITE_END()

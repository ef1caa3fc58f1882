#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "gpError.h"
#include "gpJobJson.h"

namespace {

const std::string kJob = R"({"service": "pond-order", "team": "team-7",
  "deadline_ms": 2000, "tasks": [
    {"path": "/v1/hold", "body": "x", "declared_size": 2048,
     "declared_run_ms": 80},
    {"path": "/v1/check", "idempotent": true}]})";

std::string
ErrorsOf(const std::string& aBody, const std::optional<std::string>& aKey)
{
  const auto parsed = gpParseSubmission(aBody, aKey);
  BOOST_REQUIRE(!parsed.ok());
  BOOST_TEST((gpErrorCodeOf(parsed.status()) == gpErrorCode::BadRequest));
  return gpErrorText(parsed.status());
}

std::string
JobWithTasks(const std::string& aTasks)
{
  return R"({"service": "a", "team": "b", "tasks": [)" + aTasks + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobJson)

BOOST_AUTO_TEST_CASE(ReadsASubmission)
{
  const auto parsed = gpParseSubmission(kJob, "key-1");
  BOOST_REQUIRE_MESSAGE(parsed.ok(), gpErrorText(parsed.status()));
  BOOST_TEST(parsed->service_.value_ == "pond-order");
  BOOST_TEST(parsed->team_.value_ == "team-7");
  BOOST_TEST(parsed->key_->value_ == "key-1");
  BOOST_TEST(parsed->deadline_.count() == 2000);
  BOOST_TEST((parsed->digest_ == gpDigest::Of(kJob)));
  BOOST_REQUIRE(parsed->tasks_.size() == 2U);
  const gpTaskRequest& hold = parsed->tasks_[0];
  BOOST_TEST(hold.path_ == "/v1/hold");
  BOOST_TEST(hold.body_ == "x");
  BOOST_TEST(!hold.idempotent_);
  BOOST_TEST(*hold.declaredSize_ == 2048U);
  BOOST_TEST(hold.declaredRunTime_->count() == 80);
  BOOST_TEST(parsed->tasks_[1].idempotent_);
  BOOST_TEST(!parsed->tasks_[1].declaredSize_.has_value());
}

BOOST_AUTO_TEST_CASE(ListsTheErrorsOfASubmission)
{
  BOOST_TEST(ErrorsOf(kJob, std::nullopt) ==
             "/tasks/0/idempotent: expected true, because the request has no "
             "header Idempotency-Key");
  for (const std::string& key :
       { std::string(), std::string("a b"), std::string(201, 'k') }) {
    BOOST_TEST(ErrorsOf(kJob, key) ==
               "Idempotency-Key: expected 1 to 200 visible ASCII characters");
  }
  BOOST_TEST(ErrorsOf(JobWithTasks(""), "k") ==
             "/tasks: expected at least one task");
  for (const char* path : { "v1", "/a b", "/a\\r\\nx: y", "" }) {
    const std::string task = R"({"path": ")" + std::string(path) + "\"}";
    BOOST_TEST(ErrorsOf(JobWithTasks(task), "k").starts_with("/tasks/0/path"));
  }
  BOOST_TEST(ErrorsOf("{}", "k").find("/service") != std::string::npos);
  BOOST_TEST(ErrorsOf(R"({"tasks": [], "tasks": []})", "k")
               .starts_with("/tasks: expected the key once; this one is a "
                            "duplicate"));
  std::string tasks = "1";
  for (int i = 1; i < 1000; ++i) {
    tasks += ",1";
  }
  BOOST_TEST(ErrorsOf(JobWithTasks(tasks), "k")
               .ends_with("expected 980 more corrections, for errors that "
                          "are not listed here"));
}

// Guards against a body whose list of errors is far larger than itself.
BOOST_AUTO_TEST_CASE(BoundsTheErrorsOfASubmission)
{
  constexpr std::size_t kMostText = 100'000;
  std::string duplicates = R"({")" + std::string(50'000, 'x') + R"(":{"a":1)";
  for (int i = 0; i < 200; ++i) {
    duplicates += R"(,"a":1)";
  }
  BOOST_TEST(ErrorsOf(duplicates + "}}", std::nullopt).size() < kMostText);
  std::string tasks = "{}";
  for (int i = 0; i < 20'000; ++i) {
    tasks += ",{}";
  }
  const std::string errors = ErrorsOf(JobWithTasks(tasks), std::nullopt);
  BOOST_TEST(errors == "/tasks: expected at most 10000 elements");
  std::string values = "1";
  for (int i = 0; i < 300'000; ++i) {
    values += ",1";
  }
  BOOST_TEST(ErrorsOf(JobWithTasks(values), std::nullopt) ==
             "the whole text: expected at most 250000 values");
}

BOOST_AUTO_TEST_CASE(RendersACompleteAnswer)
{
  const gpAnswer answer = gpComplete{ { { 200, "a\"b" }, { 404, "" } } };
  const gpRenderedAnswer rendered = gpRenderAnswer(answer);
  BOOST_TEST(rendered.status_ == 200);
  BOOST_TEST(rendered.contentType_ == "application/json");
  BOOST_TEST(rendered.body_ ==
             R"({"outcome":"complete","results":[)"
             R"({"status":200,"body":"a\"b"},{"status":404,"body":""}]})");
  BOOST_TEST((*gpParseAnswer(rendered.body_) == answer));
}

BOOST_AUTO_TEST_CASE(PreservesEveryByteOfAResult)
{
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes += static_cast<char>(byte);
  }
  for (const std::string& body : { bytes,
                                   std::string("\xc3\xa9\xf0\x9f\x8c\xb8"),
                                   std::string("\xed\xa0\x80"),
                                   std::string("\xc3"),
                                   std::string("\0", 1) }) {
    const gpAnswer answer = gpComplete{ { { 200, body } } };
    const auto parsed = gpParseAnswer(gpRenderAnswer(answer).body_);
    BOOST_REQUIRE(parsed.ok());
    BOOST_TEST((*parsed == answer));
  }
}

BOOST_AUTO_TEST_CASE(RendersAFailure)
{
  const gpAnswer answer = gpFailure{
    gpFailureCode::QueueFull, gpOutcome::NotRun, {}, gpMillis(1001)
  };
  const gpRenderedAnswer rendered = gpRenderAnswer(answer);
  BOOST_TEST(rendered.status_ == 503);
  BOOST_TEST(rendered.contentType_ == "application/problem+json");
  BOOST_TEST(rendered.headers_.at("retry-after") == "2");
  BOOST_TEST(rendered.body_ ==
             R"({"type":"about:blank","title":"queue full","status":503,)"
             R"("code":"queue_full","outcome":"not_run","may_have_run":[],)"
             R"("retry_after_ms":1001})");
}

BOOST_AUTO_TEST_CASE(EveryFailureSurvivesRenderingAndParsing)
{
  for (int code = 0; code <= static_cast<int>(gpFailureCode::NotFound);
       ++code) {
    const gpAnswer answer = gpFailure{ static_cast<gpFailureCode>(code),
                                       gpOutcome::Failed,
                                       { gpTaskIndex(1), gpTaskIndex(7) },
                                       std::nullopt };
    const gpRenderedAnswer rendered = gpRenderAnswer(answer);
    BOOST_TEST(rendered.status_ >= 400);
    BOOST_TEST(rendered.headers_.empty());
    BOOST_TEST((*gpParseAnswer(rendered.body_) == answer));
  }
}

BOOST_AUTO_TEST_CASE(DistinguishesRequestFaultsFromAnswers)
{
  const gpRenderedAnswer fault =
    gpRenderFault(gpRequestFault::BadRequest, "why");
  BOOST_TEST(fault.status_ == 400);
  const auto parsed = gpParseAnswer(fault.body_);
  BOOST_TEST((gpErrorCodeOf(parsed.status()) == gpErrorCode::BadRequest));
  BOOST_TEST(gpErrorText(parsed.status()) == "why");
  BOOST_TEST(gpRenderFault(gpRequestFault::RequestTooLarge, "").status_ == 413);
  for (const char* body : { "", "{}", "[]", "<html>", R"({"code":"x"})" }) {
    BOOST_TEST((gpErrorCodeOf(gpParseAnswer(body).status()) ==
                gpErrorCode::HttpFailure));
  }
}

BOOST_AUTO_TEST_SUITE_END()

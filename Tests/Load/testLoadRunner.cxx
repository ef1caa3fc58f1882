#define BOOST_TEST_MODULE gpLoadRunner
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "gpEventLoop.h"
#include "gpExperimentFile.h"
#include "gpHttpServer.h"
#include "gpLoadOptions.h"
#include "gpLoadRunner.h"
#include "gpMetricsReader.h"
#include "gpTestLoop.h"
#include "gpTimerService.h"

namespace {

const gpAddress kAnyPort{ "127.0.0.1:0" };

std::string
KeyOf(const gpHttpRequest& aRequest)
{
  const auto key = aRequest.headers_.find("idempotency-key");
  return key == aRequest.headers_.end() ? "" : key->second;
}

/// The answer of an entry that has run all tasks.
gpHttpResponse
CompleteAnswer(const gpHttpRequest& aRequest)
{
  const boost::json::value body = boost::json::parse(aRequest.body_);
  boost::json::array results;
  for (std::size_t task = 0; task < body.at("tasks").as_array().size();
       ++task) {
    const std::string echo = KeyOf(aRequest) + "/" + std::to_string(task);
    results.push_back(
      boost::json::object{ { "status", 200 }, { "body", echo } });
  }
  gpHttpResponse response;
  response.body_ = boost::json::serialize(boost::json::object{
    { "outcome", "complete" }, { "results", std::move(results) } });
  return response;
}

gpHttpResponse
Answer(int aStatus, const std::string& aBody)
{
  gpHttpResponse response;
  response.status_ = aStatus;
  response.body_ = aBody;
  return response;
}

/// Two entries with the same behaviour, and a runner that sends jobs to them.
struct Fixture
{
  /// Receives the request and the number of earlier requests with its key.
  using Behaviour = std::function<gpHttpResponse(const gpHttpRequest&, int)>;

  Fixture()
  {
    for (gpHttpServer* server : { &first_, &second_ }) {
      entries_.push_back(server->Listen(kAnyPort).value());
    }
    const auto experiment =
      gpParseExperiment("{}",
                        { { "jobs_per_second", "200" },
                          { "duration_ms", "200" },
                          { "keyless_share", "0.2" },
                          { "job_sizes", R"([{"max": 5}])" } });
    plan_ = gpMakeLoadPlan(experiment.value(), "run").value();
  }

  gpHttpServer::Handlers HandlersOf(gpHttpServer& aServer)
  {
    return { [this, &aServer](gpRequestId aId, const gpHttpRequest& aRequest) {
              ++requests_[&aServer];
              const int before = submissions_[KeyOf(aRequest)]++;
              aServer.Respond(aId, behaviour_(aRequest, before));
            },
             [](gpRequestId) {} };
  }

  /// An address that refuses connections: its server is closed.
  gpAddress RefusingAddress()
  {
    gpHttpServer server(loop_, {}, {});
    return server.Listen(kAnyPort).value();
  }

  const gpLoadRecords& Run(std::uint32_t aAttempts)
  {
    runner_.emplace(
      timers_, http_, plan_, gpLoadRunnerSettings{ entries_, aAttempts, 1000 });
    bool isEnded = false;
    runner_->Start([&isEnded] { isEnded = true; });
    gpRunUntil(loop_, [&isEnded] { return isEnded; });
    return runner_->GetRecords();
  }

  std::size_t Count(gpLoadOutcome aOutcome) const
  {
    std::size_t count = 0;
    for (const gpJobRecord& record : runner_->GetRecords().jobs_) {
      count += record.outcome_ == aOutcome ? 1 : 0;
    }
    return count;
  }

  gpEventLoop loop_;
  gpTimerService timers_{ loop_ };
  gpHttpClient http_{ loop_, 64 };
  Behaviour behaviour_ = [](const gpHttpRequest& aRequest, int) {
    return CompleteAnswer(aRequest);
  };
  std::map<const gpHttpServer*, int> requests_;
  std::map<std::string, int> submissions_;
  gpHttpServer first_{ loop_, {}, HandlersOf(first_) };
  gpHttpServer second_{ loop_, {}, HandlersOf(second_) };
  std::vector<gpAddress> entries_;
  gpLoadPlan plan_;
  std::optional<gpLoadRunner> runner_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(EntriesAreUsedRoundRobin, Fixture)
{
  const gpLoadRecords& records = Run(1);
  BOOST_TEST(plan_.jobs_.size() == 40U);
  BOOST_TEST(Count(gpLoadOutcome::Complete) == plan_.jobs_.size());
  BOOST_TEST(requests_[&first_] == 20);
  BOOST_TEST(requests_[&second_] == 20);
  for (const gpJobRecord& record : records.jobs_) {
    BOOST_TEST((record.response_ > gpMicros{ 0 }));
    BOOST_TEST(record.attempts_ == 1U);
  }
}

BOOST_FIXTURE_TEST_CASE(RefusedJobsAreResubmittedAfterTheDelay, Fixture)
{
  behaviour_ = [](const gpHttpRequest& aRequest, int aBefore) {
    return !KeyOf(aRequest).empty() && aBefore == 0
             ? Answer(503,
                      R"({"outcome": "not_run", "code": "queue_full",
                          "retry_after_ms": 20})")
             : CompleteAnswer(aRequest);
  };
  const gpLoadRecords& records = Run(3);
  BOOST_TEST(Count(gpLoadOutcome::Complete) == plan_.jobs_.size());
  BOOST_TEST(records.refusals_.size() > 0U);
  for (const gpRefusalRecord& refusal : records.refusals_) {
    const gpJobRecord& record = records.jobs_[refusal.job_];
    BOOST_TEST(record.attempts_ == 2U);
    // The delay before the resubmission is part of the job's response time, but
    // not of the refusal's latency.
    BOOST_TEST((record.response_ >= refusal.latency_ + gpMillis{ 20 }));
    BOOST_TEST(refusal.hasRetryAfter_);
  }
}

BOOST_FIXTURE_TEST_CASE(FailuresAreRecorded, Fixture)
{
  behaviour_ = [](const gpHttpRequest& aRequest, int) {
    return KeyOf(aRequest).empty()
             ? Answer(200, R"({"outcome": "complete", "results": []})")
             : Answer(502, R"({"outcome": "failed", "code": "task_failed",
                               "may_have_run": [0]})");
  };
  const gpLoadRecords& records = Run(3);
  const std::size_t malformed = Count(gpLoadOutcome::Malformed);
  BOOST_TEST(malformed > 0U);
  BOOST_TEST(Count(gpLoadOutcome::Failed) == plan_.jobs_.size() - malformed);
  BOOST_TEST(records.refusals_.size() == 0U);
  for (const gpJobRecord& record : records.jobs_) {
    BOOST_TEST(record.attempts_ == 1U);
    BOOST_TEST((record.fault_ == gpAnswerFault::WrongCount) ==
               (record.outcome_ == gpLoadOutcome::Malformed));
  }
}

BOOST_FIXTURE_TEST_CASE(EntryThatRefusesConnectionsIsSkipped, Fixture)
{
  entries_.front() = RefusingAddress();
  const gpLoadRecords& records = Run(1);
  BOOST_TEST(Count(gpLoadOutcome::Complete) == plan_.jobs_.size());
  BOOST_TEST(requests_[&second_] == 40);
  BOOST_TEST(records.redirects_ > 0U);
}

BOOST_FIXTURE_TEST_CASE(FinishLeavesNoJobPending, Fixture)
{
  behaviour_ = [this](const gpHttpRequest& aRequest, int) {
    loop_.Post([this] { runner_->Finish(); });
    return CompleteAnswer(aRequest);
  };
  Run(1);
  BOOST_TEST(Count(gpLoadOutcome::Pending) == 0U);
  BOOST_TEST(Count(gpLoadOutcome::Unsent) > 0U);
}

BOOST_FIXTURE_TEST_CASE(MetricsAreReadOfAllThatAnswer, Fixture)
{
  behaviour_ = [](const gpHttpRequest& aRequest, int) {
    return Answer(aRequest.target_ == "/metrics" ? 200 : 404,
                  "gypsumpoint_messages_total{kind=\"start\"} 12\n");
  };
  std::vector<gpAddress> addresses = entries_;
  addresses.push_back(RefusingAddress());
  std::optional<gpMessageReadings> readings;
  gpReadMetrics(http_, addresses, [&readings](gpMessageReadings aReadings) {
    readings = std::move(aReadings);
  });
  gpRunUntil(loop_, [&readings] { return readings.has_value(); });
  BOOST_TEST(readings->size() == 2U);
  BOOST_TEST(gpTrafficBetween(addresses, {}, *readings).unread_ == 3U);
  const gpMessageTraffic none =
    gpTrafficBetween(addresses, *readings, *readings);
  BOOST_TEST(none.unread_ == 1U);
  BOOST_TEST(none.counts_.at("start") == 0U);
}

BOOST_AUTO_TEST_CASE(ArgumentsAreRead)
{
  const auto options = gpParseLoadOptions({ "run",
                                            "--entry=127.0.0.1:1",
                                            "--entry=127.0.0.1:2",
                                            "--seed=4",
                                            "--set=deployment.region=lakes" });
  BOOST_REQUIRE(options.ok());
  const auto& run = std::get<gpRunOptions>(*options);
  BOOST_TEST(run.entries_.size() == 2U);
  BOOST_TEST(run.experiment_.overrides_.size() == 2U);
  BOOST_TEST(!gpParseLoadOptions({ "run" }).ok());
  BOOST_TEST(!gpParseLoadOptions({ "plan", "--set=x" }).ok());
  BOOST_TEST(!gpParseLoadOptions({ "report", "a.json" }).ok());
  BOOST_TEST(!gpParseLoadOptions({ "dance" }).ok());
  BOOST_TEST(!gpParseLoadOptions({ "plan", "--dance" }).ok());
}

#define BOOST_TEST_MODULE gpLoadResult
#include <boost/test/unit_test.hpp>

#include <string>

#include "gpExperimentFile.h"
#include "gpLoadAnswer.h"
#include "gpLoadReport.h"
#include "gpLoadRequest.h"
#include "gpLoadResult.h"
#include "gpLoadResultFile.h"
#include "gpLoadSummary.h"
#include "gpMessageCounts.h"

namespace {

gpPlannedJob
TwoTasks(bool aHasKey)
{
  gpPlannedJob job;
  job.tasks_.resize(2);
  if (aHasKey) {
    job.key_ = gpSubmissionKey{ "k" };
  }
  return job;
}

std::string
Complete(const std::string& aFirst, const std::string& aSecond)
{
  return R"({"outcome": "complete", "results": [{"status": 200, "body": ")" +
         aFirst + R"("}, {"status": 200, "body": ")" + aSecond + "\"}]}";
}

gpAnswerFault
FaultOf(int aStatus, const std::string& aBody, bool aHasKey = true)
{
  return gpReadLoadAnswer(aStatus, aBody, TwoTasks(aHasKey)).fault_;
}

/// A run in which every fifth job was refused and all others are complete.
struct Fixture
{
  explicit Fixture(const std::string& aLoad = "0.5")
  {
    plan_ = gpMakeLoadPlan(gpParseExperiment("{}",
                                             { { "load", aLoad },
                                               { "duration_ms", "3000" },
                                               { "name", "pond/1" } })
                             .value(),
                           "run")
              .value();
    records_.jobs_.resize(plan_.jobs_.size());
    for (std::size_t job = 0; job < plan_.jobs_.size(); ++job) {
      gpJobRecord& record = records_.jobs_[job];
      record.attempts_ = 1;
      record.response_ = plan_.jobs_[job].Work() + gpMillis{ 1 };
      record.outcome_ = gpLoadOutcome::Complete;
      if (job % 5 == 0) {
        record.outcome_ = gpLoadOutcome::NotRun;
        record.code_ = "queue_full";
        records_.refusals_.push_back(
          { job, "queue_full", gpMicros{ 700 }, true });
      }
    }
  }

  gpLoadResult Result(const std::string& aLabel = "ours") const
  {
    gpLoadResult result = gpEvaluateRun(plan_, records_, aLabel);
    gpAddMessages(plan_, records_, { { "start", 100000 } }, 1, result);
    return result;
  }

  gpLoadPlan plan_;
  gpLoadRecords records_;
};

} // namespace

BOOST_AUTO_TEST_CASE(CompleteAnswersAreChecked)
{
  using Fault = gpAnswerFault;
  BOOST_TEST((FaultOf(200, Complete("k/0", "k/1")) == Fault::None));
  BOOST_TEST((FaultOf(200, Complete("k/1", "k/0")) == Fault::WrongResult));
  BOOST_TEST((FaultOf(200, Complete("k/0", "j/1")) == Fault::WrongResult));
  BOOST_TEST((FaultOf(200, Complete("", "k/1")) == Fault::WrongResult));
  BOOST_TEST((FaultOf(200, Complete("j/0", "j/1"), false) == Fault::None));
  BOOST_TEST(
    (FaultOf(200, Complete("j/0", "k/1"), false) == Fault::WrongResult));
  BOOST_TEST((FaultOf(200, R"({"outcome": "complete", "results": []})") ==
              Fault::WrongCount));
  BOOST_TEST((FaultOf(503, Complete("k/0", "k/1")) == Fault::WrongStatus));
  BOOST_TEST((FaultOf(200, "<html>") == Fault::NotJson));
}

BOOST_AUTO_TEST_CASE(FailuresAreRead)
{
  const gpLoadAnswer refused = gpReadLoadAnswer(
    503,
    R"({"outcome": "not_run", "code": "queue_full", "may_have_run": [],
        "retry_after_ms": 150})",
    TwoTasks(true));
  BOOST_TEST((refused.outcome_ == gpLoadOutcome::NotRun));
  BOOST_TEST(refused.code_ == "queue_full");
  BOOST_TEST((refused.retryAfter_ == gpMillis{ 150 }));
  BOOST_TEST((FaultOf(503, R"({"outcome": "not_run", "may_have_run": [1]})") ==
              gpAnswerFault::NotRunMayRun));
  BOOST_TEST((FaultOf(503, R"({"outcome": "perhaps"})") ==
              gpAnswerFault::UnknownOutcome));
  BOOST_TEST(
    (FaultOf(200, R"({"outcome": "not_run"})") == gpAnswerFault::WrongStatus));
}

BOOST_AUTO_TEST_CASE(RequestHoldsTheTasks)
{
  const gpExperiment experiment = gpParseExperiment("{}", {}).value();
  gpPlannedJob job;
  job.tasks_.resize(1);
  job.tasks_[0].runTime_ = gpMillis{ 12 };
  job.tasks_[0].bodyBytes_ = 16;
  job.tasks_[0].declaredRunTime_ = gpMillis{ 90 };
  BOOST_TEST(gpLoadRequestBody(experiment, job) ==
             R"({"service":"pond-order","team":"garden-center-1",)"
             R"("deadline_ms":10000,"tasks":[{"path":"/v1/hold",)"
             R"("body":"{\"run_ms\": 12}  ","idempotent":false,)"
             R"("declared_run_ms":90}]})");
}

BOOST_AUTO_TEST_CASE(MessagesAreCountedWhereTheyAreSent)
{
  const gpMessageCounts counts = gpParseMessageCounts(
    "# TYPE gypsumpoint_messages_total counter\n"
    "gypsumpoint_messages_total{kind=\"start\"} 12\n"
    "gypsumpoint_messages_total{kind=\"start\",direction=\"received\"} 7\n"
    "gypsumpoint_messages_total{ direction=\"sent\", kind=\"start\" } 3e0\n"
    "gypsumpoint_messages_total{kind=\"odd \\\"}\"} 1\n"
    "gypsumpoint_messages_total{kind\n"
    "other_total{kind=\"start\"} 5");
  BOOST_TEST(counts.size() == 2U);
  BOOST_TEST(counts.at("start") == 15U);
  BOOST_TEST(counts.at("odd \"}") == 1U);
}

BOOST_AUTO_TEST_CASE(ExcessOfOneKindIsNotOffsetByOthers)
{
  const gpMessageCounts counted = gpCountIncrease(
    { { "start", 100 }, { "cancel", 50 } },
    { { "start", 112 }, { "cancel", 4 }, { "claim_request", 1 } });
  BOOST_TEST(counted.at("cancel") == 4U);
  const gpMessageReport report = gpEvaluateMessages(counted, { 3, 2, 10 });
  BOOST_TEST(report.needed_ == 11U);
  BOOST_TEST(report.excess_ == 6U);
}

BOOST_FIXTURE_TEST_CASE(RunIsEvaluated, Fixture)
{
  const gpLoadResult result = Result();
  const gpJobGroup& all = result.All();
  const std::uint64_t refused = (plan_.jobs_.size() + 4) / 5;
  BOOST_TEST(all.jobs_ == plan_.jobs_.size());
  BOOST_TEST(all.outcomes_.at("not_run") == refused);
  BOOST_TEST(all.response_.count_ == plan_.jobs_.size() - refused);
  BOOST_TEST((all.bound_.p99_ <= all.response_.p99_));
  BOOST_TEST(result.codes_.at("queue_full") == refused);
  BOOST_TEST(result.refusals_.p99_.count() == 700);
  BOOST_TEST(result.refusalsWithRetryAfter_ == refused);
  BOOST_TEST(result.goodput_ < result.offered_);
  BOOST_TEST(result.goodput_ > result.offered_ * 0.5);
  BOOST_TEST(result.messages_.unread_ == 1U);
  BOOST_TEST(result.groups_.size() == 3U);
  BOOST_TEST(result.references_.size() == 4U);
  BOOST_TEST(gpLoadSummaryText(result).find("not_run") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(SummaryWarnsOfARunThatBeatsABound, Fixture)
{
  const std::string warning = "FASTER THAN THE BOUNDS";
  BOOST_TEST(gpLoadSummaryText(Result()).find(warning) == std::string::npos);
  for (gpJobRecord& record : records_.jobs_) {
    record.response_ /= 2;
  }
  BOOST_TEST(gpLoadSummaryText(Result()).find(warning) != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ResultFileIsReadBack, Fixture)
{
  const std::string text = gpFormatLoadResult(Result());
  const auto read = gpParseLoadResult(text);
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(gpFormatLoadResult(*read) == text);
  BOOST_TEST(!gpParseLoadResult("{}").ok());
  BOOST_TEST(!gpParseLoadResult("[").ok());
}

BOOST_AUTO_TEST_CASE(ReportRenders)
{
  const std::vector<gpLoadResult> results = {
    Fixture("0.9").Result("ours"),
    Fixture("0.5").Result("ours"),
    Fixture("0.5").Result("<random>"),
  };
  const std::vector<gpReportFile> files = gpRenderLoadReport(results);
  BOOST_TEST(files.size() == 6U);
  BOOST_TEST(files[0].name_ == "report.md");
  // Rows are in the order of the load.
  BOOST_TEST(files[0].content_.find("| ours | 50 % |") <
             files[0].content_.find("| ours | 90 % |"));
  for (std::size_t index = 1; index < files.size(); ++index) {
    const gpReportFile& chart = files[index];
    BOOST_TEST(chart.name_.find("pond-1-") == 0U);
    BOOST_TEST(files[0].content_.find("(" + chart.name_ + ")") !=
               std::string::npos);
    BOOST_TEST(chart.content_.find("<svg ") == 0U);
    BOOST_TEST(chart.content_.find("&lt;random&gt;") != std::string::npos);
    BOOST_TEST(chart.content_.find("nan") == std::string::npos);
    BOOST_TEST(chart.content_.find("inf") == std::string::npos);
  }
  const std::vector<gpReportFile> bars = gpRenderLoadReport({ results[1] });
  BOOST_TEST(bars[1].content_.find("<polyline") == std::string::npos);
}

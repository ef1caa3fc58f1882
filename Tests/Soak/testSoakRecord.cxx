#define BOOST_TEST_MODULE gpSoakRecord
#include <boost/test/unit_test.hpp>

#include "gpSoakRecord.h"

namespace {

constexpr const char* kJob = "aaaaaaaaaaaaaaa1";
constexpr const char* kTask = "aaaaaaaaaaaaaaa1.0.0.0";

gpTime
At(std::int64_t aMillis)
{
  return gpTime{ gpMillis(aMillis) };
}

/// A record of one completed job with one task.
gpSoakRecord
MakeCompletedRecord()
{
  gpSoakRecord record;
  record.runs_.push_back({ kTask, 0, At(100), At(200), true });
  record.submissions_.push_back(
    { kJob, 1, 0, At(90), At(210), gpSoakOutcome::Completed });
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(CompletedJobHasNoViolation)
{
  BOOST_TEST(gpCheckSoakRecord(MakeCompletedRecord()).empty());
}

BOOST_AUTO_TEST_CASE(ConcurrentRunsOfATaskAreFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.runs_.push_back({ kTask, 1, At(199), At(220), false });
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
  record.runs_.back().startedAt_ = At(200);
  BOOST_TEST(gpCheckSoakRecord(record).empty());
}

BOOST_AUTO_TEST_CASE(CompletedAnswerWithoutAllRunsIsFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.submissions_.front().tasks_ = 2;
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FalseNotRunAnswerIsFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.submissions_.front().outcome_ = gpSoakOutcome::NotRun;
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FalseFailureAnswerIsFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.submissions_.front().outcome_ = gpSoakOutcome::Failed;
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunsWithoutASubmissionAreFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.runs_.push_back(
    { "aaaaaaaaaaaaaaa2.0.0.0", 0, At(100), At(120), true });
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunsThatOutliveTheirCallersAreFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.runs_.front().endedAt_ = At(9000);
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunsBeyondTheCapacityAreFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.submissions_.front().tasks_ = 5;
  record.runs_.clear();
  for (int task = 0; task < 5; ++task) {
    record.runs_.push_back({ std::string(kJob) + ".0.0." + std::to_string(task),
                             0,
                             At(100),
                             At(200),
                             true });
  }
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
  record.runs_.back().startedAt_ = At(200);
  BOOST_TEST(gpCheckSoakRecord(record).empty());
}

BOOST_AUTO_TEST_CASE(StartsAtADrainingWorkerAreFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.runs_.front().startedAt_ = At(4000);
  record.runs_.front().endedAt_ = At(4100);
  record.submissions_.front().endedAt_ = At(4100);
  record.drains_.push_back({ 0, At(500), At(5000) });
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
  record.drains_.front().from_ = At(1500);
  BOOST_TEST(gpCheckSoakRecord(record).empty());
}

BOOST_AUTO_TEST_CASE(ConnectionsLostInAShutdownAreFound)
{
  gpSoakRecord record = MakeCompletedRecord();
  record.submissions_.front().outcome_ = gpSoakOutcome::ConnectionLost;
  record.shutdowns_.push_back({ 0, At(150), At(400) });
  BOOST_TEST(gpCheckSoakRecord(record).size() == 1U);
  record.disruptions_.push_back({ 0, At(160), At(170) });
  BOOST_TEST(gpCheckSoakRecord(record).empty());
}

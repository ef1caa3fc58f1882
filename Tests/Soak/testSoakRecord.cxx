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

/// One job of one task that was served.
gpSoakRecord
MakeServed()
{
  gpSoakRecord record;
  record.runs_.push_back({ kTask, 0, At(100), At(200), true });
  record.attempts_.push_back(
    { kJob, 1, 0, At(90), At(210), gpSoakOutcome::Completed });
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(AServedJobBreaksNothing)
{
  BOOST_TEST(gpJudgeSoak(MakeServed()).empty());
}

BOOST_AUTO_TEST_CASE(TwoRunsAtOneTimeAreFound)
{
  gpSoakRecord record = MakeServed();
  record.runs_.push_back({ kTask, 1, At(199), At(220), false });
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
  record.runs_.back().startedAt_ = At(200);
  BOOST_TEST(gpJudgeSoak(record).empty());
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutTheWorkIsFound)
{
  gpSoakRecord record = MakeServed();
  record.attempts_.front().tasks_ = 2;
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFalseNotRunIsFound)
{
  gpSoakRecord record = MakeServed();
  record.attempts_.front().outcome_ = gpSoakOutcome::NotRun;
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFalseFailureIsFound)
{
  gpSoakRecord record = MakeServed();
  record.attempts_.front().outcome_ = gpSoakOutcome::Failed;
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunsThatNobodyAskedForAreFound)
{
  gpSoakRecord record = MakeServed();
  record.runs_.push_back(
    { "aaaaaaaaaaaaaaa2.0.0.0", 0, At(100), At(120), true });
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunsThatOutliveTheirCallersAreFound)
{
  gpSoakRecord record = MakeServed();
  record.runs_.front().endedAt_ = At(9000);
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(MoreThanTheRoomIsFound)
{
  gpSoakRecord record = MakeServed();
  record.attempts_.front().tasks_ = 5;
  record.runs_.clear();
  for (int task = 0; task < 5; ++task) {
    record.runs_.push_back({ std::string(kJob) + ".0.0." + std::to_string(task),
                             0,
                             At(100),
                             At(200),
                             true });
  }
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
  record.runs_.back().startedAt_ = At(200);
  BOOST_TEST(gpJudgeSoak(record).empty());
}

BOOST_AUTO_TEST_CASE(StartsAtALeavingWorkerAreFound)
{
  gpSoakRecord record = MakeServed();
  record.runs_.front().startedAt_ = At(4000);
  record.runs_.front().endedAt_ = At(4100);
  record.attempts_.front().endedAt_ = At(4100);
  record.drains_.push_back({ 0, At(500), At(5000) });
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
  record.drains_.front().from_ = At(1500);
  BOOST_TEST(gpJudgeSoak(record).empty());
}

BOOST_AUTO_TEST_CASE(RequestsCutByAShutdownAreFound)
{
  gpSoakRecord record = MakeServed();
  record.attempts_.front().outcome_ = gpSoakOutcome::Cut;
  record.shutdowns_.push_back({ 0, At(150), At(400) });
  BOOST_TEST(gpJudgeSoak(record).size() == 1U);
  record.struck_.push_back({ 0, At(160), At(170) });
  BOOST_TEST(gpJudgeSoak(record).empty());
}

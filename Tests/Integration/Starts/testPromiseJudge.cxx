#include <boost/test/unit_test.hpp>

#include "gpPromiseJudge.h"
#include "gpStartsFixture.h"

namespace {

const gpTestJob kJob = gpStartsFixture::MakeJob("k", 2, gpMillis(1));

gpTestAnswer
MakeAnswer(const std::string& aOutcome)
{
  gpTestAnswer answer;
  answer.outcome_ = aOutcome;
  return answer;
}

std::string
JudgeOne(const gpTestAnswer& aAnswer, const gpPromiseJudge::Starts& aStarts)
{
  gpPromiseJudge judge;
  judge.Note(kJob, aAnswer, aStarts);
  return judge.Judge(aStarts);
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromiseJudge)

BOOST_AUTO_TEST_CASE(AcceptsTrueAnswers)
{
  gpTestAnswer complete = MakeAnswer("complete");
  complete.results_ = { "k/0", "k/1" };
  BOOST_TEST(JudgeOne(complete, { { "k/0", 1 }, { "k/1", 1 } }) == "");
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0, 1 };
  BOOST_TEST(JudgeOne(failed, { { "k/0", 1 } }) == "");
  BOOST_TEST(JudgeOne(MakeAnswer("not_run"), {}) == "");
  gpTestAnswer unknown = MakeAnswer("unknown");
  unknown.retryAfterMs_ = 500;
  BOOST_TEST(JudgeOne(unknown, { { "k/1", 1 } }) == "");
}

BOOST_AUTO_TEST_CASE(SeesASecondStart)
{
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0, 1 };
  BOOST_TEST(Has(JudgeOne(failed, { { "k/1", 2 } }), "k/1 was started 2"));
}

BOOST_AUTO_TEST_CASE(SeesAnUntrueAnswer)
{
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0 };
  BOOST_TEST(Has(JudgeOne(failed, { { "k/1", 1 } }), "k/1 ran"));
  BOOST_TEST(Has(JudgeOne(MakeAnswer("failed"), {}), "is empty"));
  BOOST_TEST(Has(JudgeOne(MakeAnswer("not_run"), { { "k/0", 1 } }), "k/0 ran"));
  BOOST_TEST(Has(JudgeOne(MakeAnswer("unknown"), {}), "when to come back"));
  BOOST_TEST(Has(JudgeOne(MakeAnswer(""), {}), "no answer"));
}

BOOST_AUTO_TEST_CASE(SeesAWrongCompleteAnswer)
{
  const gpPromiseJudge::Starts starts{ { "k/0", 1 }, { "k/1", 1 } };
  gpTestAnswer complete = MakeAnswer("complete");
  complete.results_ = { "k/0" };
  BOOST_TEST(Has(JudgeOne(complete, starts), "without all results"));
  complete.results_ = { "k/1", "k/0" };
  BOOST_TEST(Has(JudgeOne(complete, starts), "another's result"));
  complete.results_ = { "k/0", "k/1" };
  BOOST_TEST(Has(JudgeOne(complete, { { "k/0", 1 } }), "no start"));
}

BOOST_AUTO_TEST_CASE(SeesThatAFinalAnswerChanged)
{
  const gpPromiseJudge::Starts starts{ { "k/0", 1 }, { "k/1", 1 } };
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0, 1 };
  gpTestAnswer complete = MakeAnswer("complete");
  complete.results_ = { "k/0", "k/1" };
  gpPromiseJudge judge;
  judge.Note(kJob, failed, starts);
  judge.Note(kJob, complete, starts);
  BOOST_TEST(Has(judge.Judge(starts), "after the final answer"));
}

BOOST_AUTO_TEST_SUITE_END()

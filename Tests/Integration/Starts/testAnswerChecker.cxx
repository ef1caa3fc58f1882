#include <boost/test/unit_test.hpp>

#include "gpAnswerChecker.h"
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
CheckOne(const gpTestAnswer& aAnswer, const gpAnswerChecker::Starts& aStarts)
{
  gpAnswerChecker checker;
  checker.Record(kJob, aAnswer, aStarts);
  return checker.FindViolations(aStarts);
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerChecker)

BOOST_AUTO_TEST_CASE(AcceptsCorrectAnswers)
{
  gpTestAnswer complete = MakeAnswer("complete");
  complete.results_ = { "k/0", "k/1" };
  BOOST_TEST(CheckOne(complete, { { "k/0", 1 }, { "k/1", 1 } }) == "");
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0, 1 };
  BOOST_TEST(CheckOne(failed, { { "k/0", 1 } }) == "");
  BOOST_TEST(CheckOne(MakeAnswer("not_run"), {}) == "");
  gpTestAnswer unknown = MakeAnswer("unknown");
  unknown.retryAfterMs_ = 500;
  BOOST_TEST(CheckOne(unknown, { { "k/1", 1 } }) == "");
}

BOOST_AUTO_TEST_CASE(FindsASecondStart)
{
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0, 1 };
  BOOST_TEST(Has(CheckOne(failed, { { "k/1", 2 } }), "k/1 was started 2"));
}

BOOST_AUTO_TEST_CASE(FindsAnUntrueAnswer)
{
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0 };
  BOOST_TEST(Has(CheckOne(failed, { { "k/1", 1 } }), "k/1 ran"));
  BOOST_TEST(Has(CheckOne(MakeAnswer("failed"), {}), "is empty"));
  BOOST_TEST(Has(CheckOne(MakeAnswer("not_run"), { { "k/0", 1 } }), "k/0 ran"));
  BOOST_TEST(Has(CheckOne(MakeAnswer("unknown"), {}), "no retry_after_ms"));
  BOOST_TEST(Has(CheckOne(MakeAnswer(""), {}), "no answer"));
}

BOOST_AUTO_TEST_CASE(FindsAWrongCompleteAnswer)
{
  const gpAnswerChecker::Starts starts{ { "k/0", 1 }, { "k/1", 1 } };
  gpTestAnswer complete = MakeAnswer("complete");
  complete.results_ = { "k/0" };
  BOOST_TEST(Has(CheckOne(complete, starts), "without all results"));
  complete.results_ = { "k/1", "k/0" };
  BOOST_TEST(Has(CheckOne(complete, starts), "result of another task"));
  complete.results_ = { "k/0", "k/1" };
  BOOST_TEST(Has(CheckOne(complete, { { "k/0", 1 } }), "no start"));
}

BOOST_AUTO_TEST_CASE(FindsAChangedFinalAnswer)
{
  const gpAnswerChecker::Starts starts{ { "k/0", 1 }, { "k/1", 1 } };
  gpTestAnswer failed = MakeAnswer("failed");
  failed.mayHaveRun_ = { 0, 1 };
  gpTestAnswer complete = MakeAnswer("complete");
  complete.results_ = { "k/0", "k/1" };
  gpAnswerChecker checker;
  checker.Record(kJob, failed, starts);
  checker.Record(kJob, complete, starts);
  BOOST_TEST(Has(checker.FindViolations(starts), "after the final answer"));
}

BOOST_AUTO_TEST_SUITE_END()

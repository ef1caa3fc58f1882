#define BOOST_TEST_MODULE Starts
#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

constexpr std::size_t kRounds = 20;

/// Links must not time out while the proxies hold their bytes.
gpTestClusterOptions
WithLongLinkSilence(std::size_t aEntries)
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.entries_ = aEntries;
  options.timings_.linkSilence_ = gpMillis(5000);
  return options;
}

struct LongLinkSilenceFixture : gpStartsFixture
{
  LongLinkSilenceFixture()
    : gpStartsFixture(WithLongLinkSilence(2))
  {
  }
};

struct ThreeEntriesFixture : gpStartsFixture
{
  ThreeEntriesFixture()
    : gpStartsFixture(WithLongLinkSilence(3))
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryKilled)

// Guards against a second start when the starts that a killed entry has sent
// arrive while, or after, the key is submitted to another entry.
BOOST_FIXTURE_TEST_CASE(AtMostOneStartAfterTheClaim, LongLinkSilenceFixture)
{
  const gpTestJob job = MakeJob("after-claim", 3, gpMillis(50));
  gpTestCall lost = SubmitAndHoldStarts(job);
  BOOST_TEST(cluster_.Entry(0).CountEvents("claim_won") == 1U);
  cluster_.Entry(0).Kill();
  SetLinks("pass");
  SubmitUntilFinal(1, job);
  const gpTestAnswer again = SubmitAndRecord(1, job);
  BOOST_TEST(again.outcome_ == "failed");
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartAtOnceAfterTheClaim,
                        LongLinkSilenceFixture)
{
  const gpTestJob job = MakeJob("at-once", 3, gpMillis(50));
  gpTestCall lost = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("claim_won");
  cluster_.Entry(0).Kill();
  SubmitAndRecord(1, job);
  SubmitUntilFinal(1, job);
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartDuringDispatch, LongLinkSilenceFixture)
{
  // More tasks than slots, so that some are sent and others wait.
  const gpTestJob job = MakeJob("mid-dispatch", 20, gpMillis(100));
  gpTestCall lost = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("task_sent");
  cluster_.Entry(0).Kill();
  SubmitAndRecord(1, job);
  SubmitUntilFinal(1, job);
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartAfterTheLastResult,
                        LongLinkSilenceFixture)
{
  const gpTestJob job = MakeJob("last-result", 4, gpMillis(20));
  gpTestCall lost = SubmitAndHoldStarts(job);
  SetLinks("hold", "to_client");
  SetLinks("pass", "to_server");
  WaitAtGuards("task_ended", job.tasks_.size());
  cluster_.Entry(0).Kill();
  SetLinks("pass");
  const gpTestAnswer answer = SubmitUntilFinal(1, job);
  BOOST_TEST(answer.mayHaveRun_.size() == job.tasks_.size());
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(OneStartOfAKeySubmittedTwiceAtTheSameTime,
                        LongLinkSilenceFixture)
{
  for (std::size_t round = 0; round < kRounds; ++round) {
    const gpTestJob job =
      MakeJob("same-" + std::to_string(round), 2, gpMillis(10));
    gpTestCall one = cluster_.Submit(0, job);
    gpTestCall other = cluster_.Submit(1, job);
    BOOST_TEST(WaitForAnswer(job, one).outcome_ == "complete");
    BOOST_TEST(WaitForAnswer(job, other).outcome_ == "complete");
  }
  BOOST_TEST(TotalStarts() == 2 * kRounds);
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartOfAKeySubmittedTwiceAfterAKill,
                        ThreeEntriesFixture)
{
  for (std::size_t round = 0; round < kRounds; ++round) {
    const gpTestJob job =
      MakeJob("killed-" + std::to_string(round), 6, gpMillis(10));
    gpTestCall lost = cluster_.Submit(0, job);
    // Every second round kills the entry before it has sent a start.
    cluster_.Entry(0).WaitForEvent(round % 2 == 0 ? "claim_won" : "task_sent");
    cluster_.Entry(0).Kill();
    gpTestCall one = cluster_.Submit(1, job);
    gpTestCall other = cluster_.Submit(2, job);
    WaitForAnswer(job, one);
    WaitForAnswer(job, other);
    SubmitUntilFinal(1, job);
    SubmitUntilFinal(2, job);
    cluster_.Entry(0).Start();
    cluster_.WaitUntilReady();
    WarmUp(0);
  }
  BOOST_TEST(FindViolations() == "");
}

BOOST_AUTO_TEST_SUITE_END()

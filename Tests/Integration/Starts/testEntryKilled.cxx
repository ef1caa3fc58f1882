#define BOOST_TEST_MODULE Starts
#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

constexpr std::size_t kRounds = 20;

/// The links must outlast the time in which the proxies hold them.
gpTestClusterOptions
WithPatientLinks(std::size_t aEntries)
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.entries_ = aEntries;
  options.timings_.linkSilence_ = gpMillis(5000);
  return options;
}

struct PatientFixture : gpStartsFixture
{
  PatientFixture()
    : gpStartsFixture(WithPatientLinks(2))
  {
  }
};

struct ThreeEntries : gpStartsFixture
{
  ThreeEntries()
    : gpStartsFixture(WithPatientLinks(3))
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryKilled)

// The starts that the dead entry sent arrive after the key was asked for
// elsewhere, or at the same time.
BOOST_FIXTURE_TEST_CASE(AtMostOneStartAfterTheClaim, PatientFixture)
{
  const gpTestJob job = MakeJob("after-claim", 3, gpMillis(50));
  gpTestCall lost = SubmitAndHoldStarts(job);
  BOOST_TEST(cluster_.Entry(0).CountEvents("claim_won") == 1U);
  cluster_.Entry(0).Kill();
  SetLinks("pass");
  AskUntilFinal(1, job);
  const gpTestAnswer again = Ask(1, job);
  BOOST_TEST(again.outcome_ == "failed");
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartAtOnceAfterTheClaim, PatientFixture)
{
  const gpTestJob job = MakeJob("at-once", 3, gpMillis(50));
  gpTestCall lost = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("claim_won");
  cluster_.Entry(0).Kill();
  Ask(1, job);
  AskUntilFinal(1, job);
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartMidDispatch, PatientFixture)
{
  // More tasks than slots, so that some are sent and others wait.
  const gpTestJob job = MakeJob("mid-dispatch", 20, gpMillis(100));
  gpTestCall lost = cluster_.Submit(0, job);
  cluster_.Entry(0).WaitForEvent("task_sent");
  cluster_.Entry(0).Kill();
  Ask(1, job);
  AskUntilFinal(1, job);
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartAfterTheLastResult, PatientFixture)
{
  const gpTestJob job = MakeJob("last-result", 4, gpMillis(20));
  gpTestCall lost = SubmitAndHoldStarts(job);
  SetLinks("hold", "to_client");
  SetLinks("pass", "to_server");
  WaitAtGuards("task_ended", job.tasks_.size());
  cluster_.Entry(0).Kill();
  SetLinks("pass");
  const gpTestAnswer answer = AskUntilFinal(1, job);
  BOOST_TEST(answer.mayHaveRun_.size() == job.tasks_.size());
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(OneStartOfAKeyAskedForTwiceAtTheSameMoment,
                        PatientFixture)
{
  for (std::size_t round = 0; round < kRounds; ++round) {
    const gpTestJob job =
      MakeJob("same-" + std::to_string(round), 2, gpMillis(10));
    gpTestCall one = cluster_.Submit(0, job);
    gpTestCall other = cluster_.Submit(1, job);
    BOOST_TEST(Await(job, one).outcome_ == "complete");
    BOOST_TEST(Await(job, other).outcome_ == "complete");
  }
  BOOST_TEST(TotalStarts() == 2 * kRounds);
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(AtMostOneStartOfAKeyAskedForTwiceAfterAKill,
                        ThreeEntries)
{
  for (std::size_t round = 0; round < kRounds; ++round) {
    const gpTestJob job =
      MakeJob("killed-" + std::to_string(round), 6, gpMillis(10));
    gpTestCall lost = cluster_.Submit(0, job);
    // At each second round before the first start.
    cluster_.Entry(0).WaitForEvent(round % 2 == 0 ? "claim_won" : "task_sent");
    cluster_.Entry(0).Kill();
    gpTestCall one = cluster_.Submit(1, job);
    gpTestCall other = cluster_.Submit(2, job);
    Await(job, one);
    Await(job, other);
    AskUntilFinal(1, job);
    AskUntilFinal(2, job);
    cluster_.Entry(0).Start();
    cluster_.WaitUntilReady();
    WarmUp(0);
  }
  BOOST_TEST(Judge() == "");
}

BOOST_AUTO_TEST_SUITE_END()

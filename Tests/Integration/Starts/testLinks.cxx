#include <boost/test/unit_test.hpp>

#include <boost/json.hpp>

#include "gpStartsFixture.h"

namespace {

/// One entry, so that the newest link of a proxy is its own.
gpTestClusterOptions
OneEntry()
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.entries_ = 1;
  options.timings_.inDoubt_ = gpMillis(15000);
  return options;
}

class ReplayFixture : public gpStartsFixture
{
public:
  ReplayFixture()
    : gpStartsFixture(OneEntry())
  {
  }

  /// Records the links from their first byte on.
  void RecordLinks()
  {
    SetLinks("duplicate");
    const std::uint64_t links = CountLinks();
    SetLinks("cut");
    WaitForNewLinks(links);
    WarmUp(0);
  }

  /// Replays each recorded link and waits until the guards have ended them.
  void ReplayLinks()
  {
    SetLinks("replay");
    for (std::size_t i = 0; i < kGuards; ++i) {
      WaitUntil("the end of the replay", [this, i] {
        const boost::json::value counts =
          boost::json::parse(cluster_.Show(cluster_.Proxy(i)));
        return counts.at("replays_ended") == counts.at("replays");
      });
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Links)

BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenALinkIsReplayed, ReplayFixture)
{
  RecordLinks();
  const gpTestJob job = MakeJob("replayed", 6, gpMillis(100));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", job.tasks_.size());
  ReplayLinks();
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  ReplayLinks();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

// The new guards' ledgers know nothing of the starts that are replayed.
BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenALinkIsReplayedToANewGuard,
                        ReplayFixture)
{
  RecordLinks();
  const gpTestJob job = MakeJob("replayed-new", 6, gpMillis(10));
  BOOST_TEST(Ask(0, job).outcome_ == "complete");
  // The replay takes the newest link that was recorded.
  SetLinks("pass");
  cluster_.Entry(0).Kill();
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Guard(i).Kill();
    cluster_.Guard(i).Start();
    cluster_.Guard(i).WaitForEvent("target_announced");
  }
  ReplayLinks();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenBytesAreRepeated, ReplayFixture)
{
  const gpTestJob job = MakeJob("repeated", 12, gpMillis(100));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", 1);
  SetLinks("repeat");
  SetLinks("repeat");
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

// The results come later than the silence that ends a link.
BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenResultsAreDelayed, gpStartsFixture)
{
  const gpTestJob job = MakeJob("delayed", 3, gpMillis(50));
  gpTestCall first = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", job.tasks_.size());
  const std::uint64_t links = CountLinks();
  SetLinks("hold", "to_client");
  WaitForNewLinks(links);
  BOOST_TEST(Ask(1, job).outcome_ == "unknown");
  SetLinks("pass");
  Await(job, first);
  AskUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

// The links live on, and the key is asked for before the results are in.
BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenResultsComeAfterTheRetry,
                        gpStartsFixture)
{
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Control(
      cluster_.Proxy(i),
      R"({"mode":"delay","direction":"to_client","delay_ms":150})");
  }
  const gpTestJob job = MakeJob("after-retry", 3, gpMillis(10));
  gpTestCall first = cluster_.Submit(0, job);
  WaitAtGuards("task_ended", job.tasks_.size());
  gpTestCall second = cluster_.Submit(1, job);
  Await(job, first);
  Await(job, second);
  AskUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_AUTO_TEST_SUITE_END()

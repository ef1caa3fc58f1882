#include <boost/test/unit_test.hpp>

#include <boost/json.hpp>

#include "gpStartsFixture.h"

namespace {

/// With one entry, the newest link of each proxy belongs to that entry.
gpTestClusterOptions
OneEntryOptions()
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
    : gpStartsFixture(OneEntryOptions())
  {
  }

  /// Opens new links, which the proxies record from their first byte.
  void RecordLinks()
  {
    SetLinks("duplicate");
    const std::uint64_t links = CountLinks();
    SetLinks("cut");
    WaitForNewLinks(links);
    WarmUp(0);
  }

  /// Replays the recorded links and waits until the guards have closed the
  /// replayed ones.
  void ReplayLinks()
  {
    SetLinks("replay");
    for (std::size_t i = 0; i < kGuards; ++i) {
      WaitUntil("replays to end", [this, i] {
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
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  ReplayLinks();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

// Restarted guards have no record of the starts that are replayed, and must
// refuse them all the same.
BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenALinkIsReplayedToANewGuard,
                        ReplayFixture)
{
  RecordLinks();
  const gpTestJob job = MakeJob("replayed-new", 6, gpMillis(10));
  BOOST_TEST(SubmitAndRecord(0, job).outcome_ == "complete");
  // Stops the recording: a replay uses the newest recorded link.
  SetLinks("pass");
  cluster_.Entry(0).Kill();
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Guard(i).Kill();
    cluster_.Guard(i).Start();
    cluster_.Guard(i).WaitForEvent("target_announced");
  }
  ReplayLinks();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenBytesAreRepeated, ReplayFixture)
{
  const gpTestJob job = MakeJob("repeated", 12, gpMillis(100));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", 1);
  SetLinks("repeat");
  SetLinks("repeat");
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

// Results are delayed for longer than the silence after which a link is closed.
BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenResultsAreDelayed, gpStartsFixture)
{
  const gpTestJob job = MakeJob("delayed", 3, gpMillis(50));
  gpTestCall first = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", job.tasks_.size());
  const std::uint64_t links = CountLinks();
  SetLinks("hold", "to_client");
  WaitForNewLinks(links);
  BOOST_TEST(SubmitAndRecord(1, job).outcome_ == "unknown");
  SetLinks("pass");
  WaitForAnswer(job, first);
  SubmitUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

// The links stay up, and the key is submitted again before the results arrive.
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
  WaitForAnswer(job, first);
  WaitForAnswer(job, second);
  SubmitUntilFinal(1, job);
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

/// Entries detect a silent link quickly. The time-out for tasks in doubt is
/// long enough for the links to come back, so that entries can resolve the
/// tasks.
gpTestClusterOptions
LateStartsOptions()
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.timings_.linkSilence_ = gpMillis(1000);
  options.timings_.inDoubt_ = gpMillis(15000);
  options.timings_.memberRemoval_ = gpMillis(30000);
  return options;
}

struct LateStartsFixture : gpStartsFixture
{
  LateStartsFixture()
    : gpStartsFixture(LateStartsOptions())
  {
  }
};

/// The guards don't close a silent link before the test ends.
gpTestClusterOptions
LongGuardSilenceOptions()
{
  gpTestClusterOptions options = LateStartsOptions();
  options.guardTimings_ = options.timings_;
  options.guardTimings_->linkSilence_ = gpMillis(60000);
  return options;
}

struct LongGuardSilenceFixture : gpStartsFixture
{
  LongGuardSilenceFixture()
    : gpStartsFixture(LongGuardSilenceOptions())
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateStarts)

BOOST_FIXTURE_TEST_CASE(StartsAreLostInACut, LateStartsFixture)
{
  const gpTestJob job = MakeJob("cut", 3, gpMillis(20));
  gpTestCall call = SubmitAndHoldStarts(job);
  SetLinks("cut");
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(CountAtGuards("task_tombstoned") >= 1U);
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(StartsAreReleasedAfterTheLinkBroke, LateStartsFixture)
{
  const gpTestJob job = MakeJob("released", 3, gpMillis(20));
  gpTestCall call = SubmitAndHoldStarts(job);
  cluster_.Entry(0).WaitForEvent("task_in_doubt");
  SetLinks("pass");
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  WaitUntilOldLinksClosed();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

// The guard still has the old link open when the entry resolves the starts over
// the new one. They must not run when the old link delivers them later.
BOOST_FIXTURE_TEST_CASE(StartsAreReleasedAfterTheyWereResolved,
                        LongGuardSilenceFixture)
{
  constexpr std::size_t kHeld = kGuards - 1;
  // As many tasks as slots, so that tasks are sent to every target. The tasks
  // whose starts are held are then sent again, to all targets.
  const gpTestJob job = MakeJob("resolved", 12, gpMillis(5));
  cluster_.Control(cluster_.Proxy(kHeld),
                   R"({"mode":"hold","connections":"open"})");
  gpTestCall call = cluster_.Submit(0, job);
  cluster_.Guard(kHeld).WaitForEvent("task_tombstoned");
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  SetLinks("pass");
  WaitUntilOldLinksClosed();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(LinksAreCutWhileTasksRun, LateStartsFixture)
{
  const gpTestJob job = MakeJob("running", 6, gpMillis(300));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", job.tasks_.size());
  SetLinks("cut");
  gpTestCall other = cluster_.Submit(1, job);
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  WaitForAnswer(job, other);
  BOOST_TEST(SubmitUntilFinal(1, job).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(LinksAreHalfOpenToTheGuards, LateStartsFixture)
{
  const gpTestJob job = MakeJob("half-open-guard", 6, gpMillis(100));
  const std::uint64_t links = CountLinks();
  gpTestCall call = SubmitAndHoldStarts(job, "drop");
  WaitForNewLinks(links);
  SetLinks("pass");
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  BOOST_TEST(SubmitUntilFinal(1, job).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_FIXTURE_TEST_CASE(LinksAreHalfOpenToTheEntries, LateStartsFixture)
{
  const gpTestJob job = MakeJob("half-open-entry", 6, gpMillis(100));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", 1);
  const std::uint64_t links = CountLinks();
  SetLinks("drop", "to_client");
  WaitForNewLinks(links);
  SetLinks("pass");
  BOOST_TEST(WaitForAnswer(job, call).outcome_ == "complete");
  BOOST_TEST(SubmitUntilFinal(1, job).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(FindViolations() == "");
}

BOOST_AUTO_TEST_SUITE_END()

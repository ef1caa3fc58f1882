#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

/// Entries notice a silent link soon; what is in doubt is asked for until the
/// links are back.
gpTestClusterOptions
LateOptions()
{
  gpTestClusterOptions options = gpStartsFixture::DefaultOptions();
  options.timings_.linkSilence_ = gpMillis(1000);
  options.timings_.inDoubt_ = gpMillis(15000);
  options.timings_.memberRemoval_ = gpMillis(30000);
  return options;
}

struct LateFixture : gpStartsFixture
{
  LateFixture()
    : gpStartsFixture(LateOptions())
  {
  }
};

/// The guards don't give up a silent link before the test's end. The last
/// target is slow, so that what was meant for it goes elsewhere when there's
/// room.
gpTestClusterOptions
PatientGuards()
{
  gpTestClusterOptions options = LateOptions();
  options.guardTimings_ = options.timings_;
  options.guardTimings_->linkSilence_ = gpMillis(60000);
  return options;
}

struct PatientGuardsFixture : gpStartsFixture
{
  PatientGuardsFixture()
    : gpStartsFixture(PatientGuards())
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateStarts)

BOOST_FIXTURE_TEST_CASE(StartsAreLostInACut, LateFixture)
{
  const gpTestJob job = MakeJob("cut", 3, gpMillis(20));
  gpTestCall call = SubmitAndHoldStarts(job);
  SetLinks("cut");
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(CountAtGuards("task_tombstoned") >= 1U);
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(StartsAreReleasedAfterTheLinkBroke, LateFixture)
{
  const gpTestJob job = MakeJob("released", 3, gpMillis(20));
  gpTestCall call = SubmitAndHoldStarts(job);
  cluster_.Entry(0).WaitForEvent("task_in_doubt");
  SetLinks("pass");
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  WaitForTheEndOfOldLinks();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

// The guard still has the old link open when the new one resolves the starts.
BOOST_FIXTURE_TEST_CASE(StartsAreReleasedAfterTheyWereResolved,
                        PatientGuardsFixture)
{
  constexpr std::size_t kHeld = kGuards - 1;
  // As many tasks as slots, so that each target is to run its share; what the
  // held one has not run is spread over all of them.
  const gpTestJob job = MakeJob("resolved", 12, gpMillis(5));
  cluster_.Control(cluster_.Proxy(kHeld),
                   R"({"mode":"hold","connections":"open"})");
  gpTestCall call = cluster_.Submit(0, job);
  cluster_.Guard(kHeld).WaitForEvent("task_tombstoned");
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  SetLinks("pass");
  WaitForTheEndOfOldLinks();
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(LinksAreCutWhileTasksRun, LateFixture)
{
  const gpTestJob job = MakeJob("running", 6, gpMillis(300));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", job.tasks_.size());
  SetLinks("cut");
  gpTestCall other = cluster_.Submit(1, job);
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  Await(job, other);
  BOOST_TEST(AskUntilFinal(1, job).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(LinksAreHalfOpenToTheGuards, LateFixture)
{
  const gpTestJob job = MakeJob("half-open-guard", 6, gpMillis(100));
  const std::uint64_t links = CountLinks();
  gpTestCall call = SubmitAndHoldStarts(job, "drop");
  WaitForNewLinks(links);
  SetLinks("pass");
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  BOOST_TEST(AskUntilFinal(1, job).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_FIXTURE_TEST_CASE(LinksAreHalfOpenToTheEntries, LateFixture)
{
  const gpTestJob job = MakeJob("half-open-entry", 6, gpMillis(100));
  gpTestCall call = cluster_.Submit(0, job);
  WaitAtGuards("task_admitted", 1);
  const std::uint64_t links = CountLinks();
  SetLinks("drop", "to_client");
  WaitForNewLinks(links);
  SetLinks("pass");
  BOOST_TEST(Await(job, call).outcome_ == "complete");
  BOOST_TEST(AskUntilFinal(1, job).outcome_ == "complete");
  BOOST_TEST(TotalStarts() == job.tasks_.size());
  BOOST_TEST(Judge() == "");
}

BOOST_AUTO_TEST_SUITE_END()

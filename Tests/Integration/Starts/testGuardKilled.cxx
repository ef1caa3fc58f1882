#include <boost/test/unit_test.hpp>

#include "gpStartsFixture.h"

namespace {

/// Kills the guard or target that runs the only task, submits the key to the
/// other entry, and restarts the killed process.
class GuardKilled : public gpStartsFixture
{
public:
  void KillWithATaskInFlight(bool aGuard, bool aTarget)
  {
    gpTestCall first = cluster_.Submit(0, job_);
    WaitUntil("the start", [this] { return TotalStarts() > 0; });
    const std::size_t index = FindGuardWith("task_admitted");
    if (aGuard) {
      cluster_.Guard(index).Kill();
    }
    if (aTarget) {
      cluster_.Target(index).Kill();
    }
    gpTestCall second = cluster_.Submit(1, job_);
    answer_ = WaitForAnswer(job_, first);
    BOOST_TEST(answer_.outcome_ == "failed");
    BOOST_TEST(answer_.mayHaveRun_.size() == 1U);
    BOOST_TEST(WaitForAnswer(job_, second).outcome_ == "failed");
    if (aGuard) {
      cluster_.Guard(index).Start();
    }
    if (aTarget) {
      cluster_.Target(index).Start();
    }
    cluster_.WaitUntilReady();
    BOOST_TEST(SubmitAndRecord(0, job_).outcome_ == "failed");
    BOOST_TEST(SubmitAndRecord(1, job_).outcome_ == "failed");
    BOOST_TEST(TotalStarts() == 1U);
    BOOST_TEST(FindViolations() == "");
  }

  const gpTestJob job_ = MakeJob("in-flight", 1, gpMillis(1500));
  gpTestAnswer answer_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GuardAndTargetKilled)

BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenTheGuardIsKilled, GuardKilled)
{
  KillWithATaskInFlight(true, false);
  BOOST_TEST(answer_.code_ == "task_in_doubt");
}

BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenTheTargetIsKilled, GuardKilled)
{
  KillWithATaskInFlight(false, true);
  BOOST_TEST(answer_.code_ == "task_failed");
}

BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenBothAreKilled, GuardKilled)
{
  KillWithATaskInFlight(true, true);
}

// Guards against a second start when the claim is lost: the claimant is killed,
// and two of the three replicas are killed and restart without their claims.
// With kKeys keys, each pair of replicas has granted some of the claims.
BOOST_FIXTURE_TEST_CASE(NoSecondStartWhenTwoReplicasAreKilled, GuardKilled)
{
  constexpr std::size_t kKeys = 12;
  std::vector<gpTestJob> jobs;
  for (std::size_t i = 0; i < kKeys; ++i) {
    jobs.push_back(MakeJob("holders-" + std::to_string(i), 2, gpMillis(5)));
    BOOST_TEST(SubmitAndRecord(0, jobs.back()).outcome_ == "complete");
  }
  cluster_.Entry(0).Kill();
  cluster_.Guard(0).Kill();
  cluster_.Guard(1).Kill();
  for (const gpTestJob& job : jobs) {
    SubmitAndRecord(1, job);
  }
  cluster_.Guard(0).Start();
  cluster_.Guard(1).Start();
  cluster_.Entry(1).WaitForEvent("member_removed");
  cluster_.Entry(0).Start();
  cluster_.WaitUntilReady();
  for (const gpTestJob& job : jobs) {
    SubmitAndRecord(0, job);
    SubmitAndRecord(1, job);
  }
  BOOST_TEST(TotalStarts() == 2 * kKeys);
  BOOST_TEST(FindViolations() == "");
}

BOOST_AUTO_TEST_SUITE_END()

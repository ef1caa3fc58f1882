#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"

using boost::unit_test::timeout;

namespace {

constexpr gpMillis kLearnedRunTime(1000);
/// Run time of the tasks ahead. A refusal must arrive before one of them ends.
constexpr gpMillis kRunTimeAhead(3000);
constexpr std::size_t kTasksAhead = 8;
/// Each target has one slot. Two of them, because a claim needs two replicas.
constexpr std::size_t kTargets = 2;
constexpr gpTestLimits kLimits{ .queueTasks_ = 8,
                                .jobTasks_ = 9,
                                .teamTasks_ = 12 };

/// The expected status, code and presence of a retry time of an answer.
struct Expected
{
  int status_;
  std::string code_;
  bool hasRetryAfter_;
};

/** \class BusyCluster
 * \brief Two targets that each run a long task, six more waiting tasks, and a
 * learned mean run time of 1 s.
 */
struct BusyCluster
{
  BusyCluster()
  {
    cluster_.Apply(gpTestConfiguration(kLimits));
    cluster_.WaitUntilReady();
    BOOST_TEST_REQUIRE(gpIsComplete(
      cluster_.SubmitAndWait(0, gpMakeNamedJob("first", 1, kLearnedRunTime)),
      "first",
      1));
    ahead_ =
      cluster_.Submit(0, gpMakeNamedJob("ahead", kTasksAhead, kRunTimeAhead));
    gpWaitUntil("the slots are taken",
                [this] { return cluster_.TotalStarts() == 1 + kTargets; });
  }

  /// Checks the refusal of a job without a key and with one, and that it
  /// arrives before a task ahead has ended.
  void Check(gpTestJob aJob, const Expected& aExpected)
  {
    for (const char* key : { "", "order-1" }) {
      aJob.key_ = key;
      gpTestCall call = cluster_.Submit(0, aJob);
      const gpHttpReply reply = call.reply_.get();
      // That is the task from which the run time was learned.
      BOOST_TEST(cluster_.Guard(0).CountEvents("task_ended") +
                   cluster_.Guard(1).CountEvents("task_ended") ==
                 1U);
      const gpTestAnswer answer = gpReadAnswer(reply);
      BOOST_TEST_INFO(aExpected.code_);
      BOOST_TEST(answer.status_ == aExpected.status_);
      BOOST_TEST(answer.code_ == aExpected.code_);
      BOOST_TEST(answer.outcome_ == "not_run");
      BOOST_TEST(answer.retryAfterMs_.has_value() == aExpected.hasRetryAfter_);
      BOOST_TEST_REQUIRE(reply.response_.ok());
      BOOST_TEST(reply.response_->headers_.contains("retry-after") ==
                 aExpected.hasRetryAfter_);
    }
  }

  void CheckNothingStarted()
  {
    BOOST_TEST(cluster_.StartsOf("order-1", 0) == 0U);
    BOOST_TEST(cluster_.TotalStarts() == 1 + kTargets);
    ahead_.cancel_();
  }

  gpTestCluster cluster_{ { .entries_ = 1,
                            .targets_ = kTargets,
                            .slots_ = 1,
                            .timings_ = gpQuickTimings() } };
  gpTestCall ahead_;
};

gpTestJob
SmallJob(std::size_t aTasks)
{
  return gpMakeNamedJob("small", aTasks, gpMillis(1));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Refusals)

BOOST_AUTO_TEST_CASE(NotRunIsReturnedAtOnceWhenTheDeadlineCannotBeMet,
                     *timeout(kCaseSeconds))
{
  BusyCluster busy;
  // The deadline is after the end of the first tasks ahead, so an answer that
  // is delayed until shortly before the deadline fails the check.
  gpTestJob job = SmallJob(1);
  job.deadline_ = gpMillis(3800);
  busy.Check(job, { 504, "deadline_unmeetable", true });
  busy.CheckNothingStarted();
}

BOOST_AUTO_TEST_CASE(NotRunIsReturnedAtOnceWhenAJobIsTooLarge,
                     *timeout(kCaseSeconds))
{
  BusyCluster busy;
  busy.Check(SmallJob(kLimits.jobTasks_ + 1), { 413, "too_large", false });
  gpTestJob club = SmallJob(3);
  club.team_ = "pond-club";
  busy.Check(club, { 413, "too_large", false });
  gpTestJob longDeadline = SmallJob(1);
  longDeadline.deadline_ = gpMillis(3000000);
  busy.Check(longDeadline, { 413, "too_large", false });
  busy.CheckNothingStarted();
}

BOOST_AUTO_TEST_CASE(NotRunIsReturnedAtOnceWhenTheQueueIsFull,
                     *timeout(kCaseSeconds))
{
  BusyCluster busy;
  busy.Check(SmallJob(3), { 503, "queue_full", true });
  busy.CheckNothingStarted();
}

BOOST_AUTO_TEST_CASE(NotRunIsReturnedAtOnceWhenTheQuotaIsUsedUp,
                     *timeout(kCaseSeconds))
{
  BusyCluster busy;
  busy.Check(SmallJob(5), { 429, "quota_exceeded", true });
  busy.CheckNothingStarted();
}

BOOST_AUTO_TEST_SUITE_END()

#include <set>

#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"

using boost::unit_test::timeout;

namespace {

constexpr std::size_t kTargets = 3;
constexpr std::size_t kSlots = 8;
constexpr std::size_t kCallers = 600;
constexpr std::size_t kAllSlots = kTargets * kSlots;
constexpr const char* kCancels = R"(gypsumpoint_messages_total{kind="cancel"})";

/** \class HangingCluster
 * \brief Targets whose tasks don't end, until the wave is over.
 */
struct HangingCluster
{
  HangingCluster()
  {
    cluster_.Apply(gpTestConfiguration({ .jobTasks_ = 3000 }));
    cluster_.WaitUntilReady();
    Hang(true);
  }

  void Hang(bool aHang)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      cluster_.Control(cluster_.Target(i),
                       aHang ? R"({"hang": true})" : R"({"hang": false})");
    }
  }

  void Submit(std::size_t aJobs, std::size_t aTasks)
  {
    for (std::size_t i = 0; i < aJobs; ++i) {
      calls_.push_back(
        cluster_.Submit(0, gpMakeNamedJob("wave", aTasks, gpMillis(1))));
    }
    gpWaitUntil("all wait or run", [&] {
      return cluster_.Entry(0).CountEvents("job_admitted") == aJobs &&
             cluster_.TotalStarts() == kAllSlots;
    });
    BOOST_TEST(Status("waiting") == aJobs * aTasks - kAllSlots);
  }

  /// All callers disconnect.
  void Cancel()
  {
    cancelsBefore_ = CancelMessages();
    for (gpTestCall& call : calls_) {
      call.cancel_();
    }
    gpWaitUntil("nothing waits or runs", [this] {
      return Status("jobs") + Status("waiting") + Status("in_flight") == 0;
    });
  }

  double CancelMessages()
  {
    return gpMetricOf(cluster_, cluster_.Entry(0), kCancels);
  }

  std::uint64_t Status(const std::string& aField)
  {
    return gpNumberIn(gpStatusText(cluster_, cluster_.Entry(0)), aField);
  }

  /// All slots take work again at once, and nothing else starts.
  void CheckSlotsAreFree()
  {
    Hang(false);
    for (std::size_t i = 0; i < kTargets; ++i) {
      gpWaitUntil("the target has ended its work", [&] {
        return gpNumberIn(cluster_.Show(cluster_.Target(i)), "running") == 0;
      });
    }
    const std::size_t starts = cluster_.TotalStarts();
    Hang(true);
    gpTestCall call =
      cluster_.Submit(0, gpMakeNamedJob("after", kAllSlots, gpMillis(1)));
    gpWaitUntil("all slots are taken at once",
                [&] { return cluster_.TotalStarts() == starts + kAllSlots; });
    Hang(false);
    BOOST_TEST(gpIsWhole(gpReadAnswer(call.reply_.get()), "after", kAllSlots));
    BOOST_TEST(cluster_.TotalStarts() == starts + kAllSlots);
  }

  gpTestCluster cluster_{ { .entries_ = 1,
                            .targets_ = kTargets,
                            .slots_ = kSlots,
                            .timings_ = gpQuickTimings() } };
  std::vector<gpTestCall> calls_;
  double cancelsBefore_ = 0;
};

/// No task was sent after its caller had gone.
void
CheckNothingSentForCallersGone(gpTestProcess& aEntry)
{
  std::set<std::string> gone;
  std::size_t late = 0;
  for (const gpTestEvent& event : aEntry.GetEvents()) {
    if (event.Is("caller_gone")) {
      gone.insert(event.Get("job"));
    } else if (event.Is("task_sent")) {
      late += gone.count(event.Get("job"));
    }
  }
  BOOST_TEST(!gone.empty());
  BOOST_TEST(!gone.contains(""));
  BOOST_TEST(late == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Cancellation)

BOOST_AUTO_TEST_CASE(NothingMoreStartsWhenTheCallerOfThousandsOfTasksIsGone,
                     *timeout(kCaseSeconds))
{
  HangingCluster cluster;
  cluster.Submit(1, 2500);
  cluster.Cancel();
  BOOST_TEST(cluster.cluster_.TotalStarts() == kAllSlots);
  const double messages = cluster.CancelMessages() - cluster.cancelsBefore_;
  BOOST_TEST(messages == static_cast<double>(kTargets));
  cluster.CheckSlotsAreFree();
  CheckNothingSentForCallersGone(cluster.cluster_.Entry(0));
}

BOOST_AUTO_TEST_CASE(NothingMoreStartsWhenHundredsOfCallersAreGone,
                     *timeout(kCaseSeconds))
{
  HangingCluster cluster;
  cluster.Submit(kCallers, 4);
  cluster.Cancel();
  cluster.CheckSlotsAreFree();
  CheckNothingSentForCallersGone(cluster.cluster_.Entry(0));
}

BOOST_AUTO_TEST_CASE(OneCancelGoesToEachGuardWhenHundredsOfCallersAreGone,
                     *timeout(kCaseSeconds))
{
  HangingCluster cluster;
  cluster.Submit(kCallers, 4);
  cluster.Cancel();
  const double messages = cluster.CancelMessages() - cluster.cancelsBefore_;
  const std::size_t cancelled =
    cluster.cluster_.Entry(0).CountEvents("task_cancelled");
  BOOST_TEST_MESSAGE(messages << " cancel messages for " << cancelled
                              << " tasks cancelled");
  BOOST_TEST(messages <= static_cast<double>(kTargets));
}

BOOST_AUTO_TEST_SUITE_END()

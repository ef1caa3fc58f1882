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
 * \brief A cluster whose targets don't finish tasks while they hang.
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

  /// Disconnects all callers and waits until no task waits or is in flight.
  void Cancel()
  {
    cancelsBefore_ = CancelMessages();
    for (gpTestCall& call : calls_) {
      call.cancel_();
    }
    gpWaitUntil("no job or task is left", [this] {
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

  /// Checks that all slots are free for new tasks and that nothing else starts.
  void CheckSlotsAreFree()
  {
    Hang(false);
    for (std::size_t i = 0; i < kTargets; ++i) {
      gpWaitUntil("the target runs no task", [&] {
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
    BOOST_TEST(
      gpIsComplete(gpReadAnswer(call.reply_.get()), "after", kAllSlots));
    BOOST_TEST(cluster_.TotalStarts() == starts + kAllSlots);
  }

  gpTestCluster cluster_{ { .entries_ = 1,
                            .targets_ = kTargets,
                            .slots_ = kSlots,
                            .timings_ = gpQuickTimings() } };
  std::vector<gpTestCall> calls_;
  double cancelsBefore_ = 0;
};

/// Checks that no task was sent after its caller had disconnected.
void
CheckNothingSentForDisconnectedCallers(gpTestProcess& aEntry)
{
  std::set<std::string> disconnected;
  std::size_t late = 0;
  for (const gpTestEvent& event : aEntry.GetEvents()) {
    if (event.Is("caller_gone")) {
      disconnected.insert(event.Get("job"));
    } else if (event.Is("task_sent")) {
      late += disconnected.count(event.Get("job"));
    }
  }
  BOOST_TEST(!disconnected.empty());
  BOOST_TEST(!disconnected.contains(""));
  BOOST_TEST(late == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Cancellation)

BOOST_AUTO_TEST_CASE(
  NothingMoreStartsWhenTheCallerOfThousandsOfTasksDisconnects,
  *timeout(kCaseSeconds))
{
  HangingCluster cluster;
  cluster.Submit(1, 2500);
  cluster.Cancel();
  BOOST_TEST(cluster.cluster_.TotalStarts() == kAllSlots);
  const double messages = cluster.CancelMessages() - cluster.cancelsBefore_;
  BOOST_TEST(messages == static_cast<double>(kTargets));
  cluster.CheckSlotsAreFree();
  CheckNothingSentForDisconnectedCallers(cluster.cluster_.Entry(0));
}

BOOST_AUTO_TEST_CASE(NothingMoreStartsWhenHundredsOfCallersDisconnect,
                     *timeout(kCaseSeconds))
{
  HangingCluster cluster;
  cluster.Submit(kCallers, 4);
  cluster.Cancel();
  cluster.CheckSlotsAreFree();
  CheckNothingSentForDisconnectedCallers(cluster.cluster_.Entry(0));
}

BOOST_AUTO_TEST_CASE(OneCancelGoesToEachGuardWhenHundredsOfCallersDisconnect,
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

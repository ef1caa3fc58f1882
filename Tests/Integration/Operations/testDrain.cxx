#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"
#include "gpOperationsLoad.h"
#include "gpOperatorCall.h"

using boost::unit_test::timeout;

namespace {

constexpr std::size_t kJobs = 40;
constexpr gpMillis kRunTime(100);
/// Longer than kLeavingBound, so these tasks still run after that time.
constexpr gpMillis kLongRunTime(2500);
constexpr std::size_t kLongTasks = 6;
/// Required: a leaving target gets no new tasks after this time.
constexpr gpMillis kLeavingBound(2000);
constexpr std::size_t kSomeStarts = 10;
constexpr std::size_t kManyStarts = 100;

/** \class LoadedCluster
 * \brief Three targets with more jobs than slots; some tasks are long.
 */
struct LoadedCluster
{
  LoadedCluster()
  {
    cluster_.Apply(gpTestConfiguration({}));
    cluster_.WaitUntilReady();
    long_ =
      cluster_.Submit(0, gpMakeNamedJob("long", kLongTasks, kLongRunTime));
    load_ = std::make_unique<gpOperationsLoad>(cluster_, 0, kJobs, kRunTime);
    load_->RunUntil("target 0 has started tasks",
                    [this] { return cluster_.StartsAt(0) >= kSomeStarts; });
  }

  std::size_t StartsElsewhere() const
  {
    return cluster_.StartsAt(1) + cluster_.StartsAt(2);
  }

  /// Checks that nothing starts at target 0 after kLeavingBound, while the
  /// other targets continue to start tasks.
  void CheckNoStartsAfterTheBound()
  {
    load_->RunFor(kLeavingBound);
    const std::size_t starts = cluster_.StartsAt(0);
    const std::size_t others = StartsElsewhere();
    load_->RunUntil("the other targets start more tasks",
                    [&] { return StartsElsewhere() >= others + kManyStarts; });
    BOOST_TEST(cluster_.StartsAt(0) == starts);
  }

  void CheckNothingCutOrRefused()
  {
    load_->Finish();
    BOOST_TEST(load_->CountComplete() > kManyStarts);
    BOOST_TEST(load_->GetIncorrectAnswers() == std::vector<std::string>(),
               boost::test_tools::per_element());
    const gpTestAnswer answer = gpReadAnswer(long_.reply_.get());
    BOOST_TEST(gpIsComplete(answer, "long", kLongTasks));
    BOOST_TEST(cluster_.MaxStartsOfAnyTask() == 1U);
  }

  gpTestCluster cluster_{ { .timings_ = gpQuickTimings() } };
  gpTestCall long_;
  std::unique_ptr<gpOperationsLoad> load_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Drain)

BOOST_AUTO_TEST_CASE(NoStartAndNothingCutWhenAnOperatorDrainsATarget,
                     *timeout(kCaseSeconds))
{
  LoadedCluster loaded;
  gpTestCluster& cluster = loaded.cluster_;
  const std::string guard = cluster.Guard(0).Address("links").value_;
  const std::string log = cluster.Log().Address("service").value_;
  gpOperatorCall drain({ "drain", guard, "--log", log });
  loaded.load_->RunUntil("the drain is applied",
                         [&] { return !drain.IsRunning(); });
  BOOST_TEST(drain.Wait().exit_ == 0);
  loaded.CheckNoStartsAfterTheBound();
  BOOST_TEST(gpNumberIn(cluster.Show(cluster.Target(0)), "cut") == 0U);

  const std::size_t starts = cluster.StartsAt(0);
  gpOperatorCall undo({ "drain", guard, "--log", log, "--undo" });
  loaded.load_->RunUntil("the target starts tasks again", [&] {
    return !undo.IsRunning() && cluster.StartsAt(0) > starts;
  });
  BOOST_TEST(undo.Wait().exit_ == 0);
  loaded.CheckNothingCutOrRefused();
}

BOOST_AUTO_TEST_CASE(NoStartAndNothingCutWhenATargetIsTerminated,
                     *timeout(kCaseSeconds))
{
  LoadedCluster loaded;
  gpTestProcess& target = loaded.cluster_.Target(0);
  target.Terminate();
  loaded.CheckNoStartsAfterTheBound();
  loaded.load_->RunUntil("the target has ended",
                         [&] { return !target.IsRunning(); });
  BOOST_TEST(target.WaitForExit().value_or(-1) == 0);
  loaded.CheckNothingCutOrRefused();
}

BOOST_AUTO_TEST_SUITE_END()

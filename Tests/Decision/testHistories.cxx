#define BOOST_TEST_MODULE gpHistories
#include <boost/test/unit_test.hpp>

#include <string>

#include "gpHistory.h"
#include "gpNumberFromEnvironment.h"

namespace {

void
RunHistories(gpHistoryOptions aOptions, std::uint64_t aDefaultCount)
{
  const std::uint64_t first = gpNumberFromEnvironment("GP_HISTORY_SEED", 1);
  const std::uint64_t count =
    gpNumberFromEnvironment("GP_HISTORY_COUNT", aDefaultCount);
  std::size_t starts = 0;
  std::size_t complete = 0;
  std::size_t notRun = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    aOptions.seed_ = seed;
    gpHistory history(aOptions);
    const std::vector<std::string> violations = history.Run();
    starts += history.CountStarts();
    complete += history.CountComplete();
    notRun += history.CountNotRun();
    if (!violations.empty()) {
      BOOST_FAIL(violations.front() + "\n" + history.DescribeEnd());
    }
  }
  BOOST_TEST_MESSAGE(count << " histories: " << starts << " starts, "
                           << complete << " complete answers, " << notRun
                           << " 'not run'");
  BOOST_TEST(starts > count);
  BOOST_TEST(complete > count / 4);
}

} // namespace

BOOST_AUTO_TEST_CASE(HistoriesWithoutFaultsComplete)
{
  gpHistoryOptions options;
  options.breakLink_ = 0;
  options.killEntry_ = 0;
  options.killGuard_ = 0;
  options.duplicate_ = 0;
  options.reorder_ = 0;
  options.shutdown_ = 0;
  options.drain_ = 0;
  RunHistories(options, 1000);
}

BOOST_AUTO_TEST_CASE(HistoriesWithFaultsKeepTheGuarantees)
{
  RunHistories(gpHistoryOptions{}, 6000);
}

BOOST_AUTO_TEST_CASE(HistoriesWithManyFaultsKeepTheGuarantees)
{
  gpHistoryOptions options;
  options.entries_ = 3;
  options.guards_ = 5;
  options.steps_ = 500;
  options.keys_ = 4;
  options.breakLink_ = 40;
  options.killEntry_ = 8;
  options.killGuard_ = 2;
  options.drain_ = 1;
  RunHistories(options, 3000);
}

#define BOOST_TEST_MODULE gpClaimSearch
#include <boost/test/unit_test.hpp>

#include "gpClaimSearch.h"

namespace {

void
Search(gpClaimSearchOptions aOptions)
{
  gpClaimSearch search(aOptions);
  const std::vector<std::string> broken = search.Run();
  std::string steps;
  for (const std::string& step : broken) {
    steps += "\n  " + step;
  }
  BOOST_TEST(broken.empty(), "two claimants after:" << steps);
  BOOST_TEST(search.WasExhaustive());
  BOOST_TEST(search.CountWon() > 0U);
  BOOST_TEST_MESSAGE(search.CountInterleavings()
                     << " interleavings, " << search.CountWon()
                     << " with a claimant");
}

} // namespace

BOOST_AUTO_TEST_CASE(TwoEntriesThreeHolders)
{
  Search(gpClaimSearchOptions{});
}

BOOST_AUTO_TEST_CASE(AReplyTimesOut)
{
  gpClaimSearchOptions options;
  options.timeouts_ = 1;
  Search(options);
}

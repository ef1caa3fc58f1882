#define BOOST_TEST_MODULE gpClaimSearch
#include <boost/test/unit_test.hpp>

#include "gpClaimSearch.h"

namespace {

void
Search(gpClaimSearchOptions aOptions)
{
  gpClaimSearch search(aOptions);
  const std::vector<std::string> violatingSteps = search.Run();
  std::string steps;
  for (const std::string& step : violatingSteps) {
    steps += "\n  " + step;
  }
  BOOST_TEST(violatingSteps.empty(),
             "two entries have won the claim after:" << steps);
  BOOST_TEST(search.WasExhaustive());
  BOOST_TEST(search.CountWon() > 0U);
  BOOST_TEST_MESSAGE(search.CountInterleavings()
                     << " interleavings, " << search.CountWon()
                     << " with a claimant");
}

} // namespace

BOOST_AUTO_TEST_CASE(TwoEntriesThreeReplicas)
{
  Search(gpClaimSearchOptions{});
}

BOOST_AUTO_TEST_CASE(OneReplyTimesOut)
{
  gpClaimSearchOptions options;
  options.timeouts_ = 1;
  Search(options);
}

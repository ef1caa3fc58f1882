#define BOOST_TEST_MODULE gpSoak
#include <boost/test/unit_test.hpp>

#include <string>

#include "gpSoak.h"
#include "gpTestNumber.h"

namespace {

std::string
Describe(const gpSoakPlan& aPlan)
{
  std::string text = "seed " + std::to_string(aPlan.seed_) + ": " +
                     std::to_string(aPlan.entries_) + " entries, " +
                     std::to_string(aPlan.guards_) + " guards";
  for (const gpSoakFault& fault : aPlan.faults_) {
    text += "\n  at " + std::to_string(fault.at_.count()) + " ms for " +
            std::to_string(fault.length_.count()) + ": " +
            gpSoakFaultName(fault.kind_) + " " + std::to_string(fault.subject_);
  }
  return text;
}

void
RunSeed(std::uint64_t aSeed, std::size_t aScale)
{
  const gpSoakPlan plan = gpMakeSoakPlan(aSeed, aScale);
  gpSoak soak(plan);
  const std::vector<std::string> broken = soak.Run();
  BOOST_TEST_MESSAGE("seed " << aSeed << ": " << soak.Summary());
  for (const std::string& promise : broken) {
    BOOST_ERROR(promise);
  }
  if (!broken.empty()) {
    BOOST_FAIL(Describe(plan));
  }
}

} // namespace

/// Seeds that failed once stay here, each with its cause. They are played as
/// long as the plans stay as they are.
BOOST_AUTO_TEST_CASE(SeedsThatFailedBeforeKeepThePromises)
{
  // A refused connection to a worker that lived was taken for its end: two runs
  // of a task at one time.
  RunSeed(8, 1);
  RunSeed(14, 1);
  // Jobs that were left at the end of a graceful shutdown were cut instead of
  // answered.
  RunSeed(128, 1);
}

BOOST_AUTO_TEST_CASE(SeedsKeepThePromises)
{
  const std::uint64_t first = gpTestNumber("GP_SOAK_SEED", 1);
  const std::uint64_t count = gpTestNumber("GP_SOAK_COUNT", 3);
  const std::uint64_t scale = gpTestNumber("GP_SOAK_SCALE", 1);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    RunSeed(seed, scale);
  }
}

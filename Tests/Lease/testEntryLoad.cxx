#define BOOST_TEST_MODULE gpEntryLoad
#include <boost/test/unit_test.hpp>

#include "gpEntrySimulation.h"

namespace {

constexpr gpMillis kDuration{ 5000 };
/// Processor of all targets, in thousandths of a core.
constexpr std::uint64_t kMilliCores = 456000;
/// Rates of jobs per second: one that the targets can serve, and one over twice
/// as high as they can.
constexpr double kFewJobs = 100;
constexpr double kManyJobs = 600;

/// Number of targets that the entry considered for each submitted job.
double
ConsideredPerJob(const gpEntrySimulationOptions& aOptions)
{
  gpEntrySimulation simulation(aOptions);
  simulation.RunFor(kDuration);
  return static_cast<double>(
           simulation.GetEntry().GetStatus().targetsConsidered_) /
         static_cast<double>(simulation.CountJobs());
}

} // namespace

// Guards against a cost per job that grows with the number of waiting jobs, by
// which an entry would serve less under a higher load.
BOOST_AUTO_TEST_CASE(PlacementCostPerJobDoesNotGrowUnderOverload)
{
  for (const std::size_t guards : { 20, 57, 120 }) {
    gpEntrySimulationOptions options;
    options.guards_ = guards;
    options.milliCores_ = kMilliCores / guards;
    options.jobsPerSecond_ = kFewJobs;
    const double few = ConsideredPerJob(options);
    options.jobsPerSecond_ = kManyJobs;
    const double many = ConsideredPerJob(options);
    BOOST_TEST_CONTEXT(guards << " guards, " << few
                              << " targets a job, loaded: " << many)
    {
      BOOST_TEST(many <= few);
    }
  }
}

BOOST_AUTO_TEST_CASE(OverloadDoesNotReduceCompletedJobs)
{
  gpEntrySimulationOptions options;
  options.jobsPerSecond_ = kManyJobs / 2;
  gpEntrySimulation full(options);
  full.RunFor(kDuration);
  options.jobsPerSecond_ = kManyJobs;
  gpEntrySimulation over(options);
  over.RunFor(kDuration);
  const auto served = full.CountAnswers(gpLeaseOutcome::Completed);
  BOOST_TEST(over.CountAnswers(gpLeaseOutcome::Completed) >= served);
  BOOST_TEST(over.CountAnswers(gpLeaseOutcome::Failed) == 0U);
}

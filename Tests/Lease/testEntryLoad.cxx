#define BOOST_TEST_MODULE gpEntryLoad
#include <boost/test/unit_test.hpp>

#include "gpEntryWorld.h"

namespace {

constexpr gpMillis kDay{ 5000 };
/// Processor of all targets, in thousandths of a core.
constexpr std::uint64_t kMilliCores = 456000;
/// Jobs that leave room at the targets, and over twice as many as they can run.
constexpr double kFewJobs = 100;
constexpr double kManyJobs = 600;

/// Targets that the entry looked at, for each job that its callers sent.
double
LooksOfAJob(const gpEntryWorldOptions& aOptions)
{
  gpEntryWorld world(aOptions);
  world.Play(kDay);
  return static_cast<double>(world.GetEntry().GetStatus().looks_) /
         static_cast<double>(world.CountJobs());
}

} // namespace

// Guards against an entry that works more for each job the more jobs wait, so
// that it serves less when more is asked of it.
BOOST_AUTO_TEST_CASE(AJobCostsNoMoreWhenRoomIsShort)
{
  for (const std::size_t guards : { 20, 57, 120 }) {
    gpEntryWorldOptions options;
    options.guards_ = guards;
    options.milliCores_ = kMilliCores / guards;
    options.jobsPerSecond_ = kFewJobs;
    const double few = LooksOfAJob(options);
    options.jobsPerSecond_ = kManyJobs;
    const double many = LooksOfAJob(options);
    BOOST_TEST_CONTEXT(guards << " guards, " << few << " looks, " << many)
    {
      BOOST_TEST(many <= few);
    }
  }
}

BOOST_AUTO_TEST_CASE(AsMuchIsServedWhenMoreIsAsked)
{
  gpEntryWorldOptions options;
  options.jobsPerSecond_ = kManyJobs / 2;
  gpEntryWorld full(options);
  full.Play(kDay);
  options.jobsPerSecond_ = kManyJobs;
  gpEntryWorld over(options);
  over.Play(kDay);
  const auto served = full.CountAnswers(gpLeaseOutcome::Completed);
  BOOST_TEST(over.CountAnswers(gpLeaseOutcome::Completed) >= served);
  BOOST_TEST(over.CountAnswers(gpLeaseOutcome::Failed) == 0U);
}

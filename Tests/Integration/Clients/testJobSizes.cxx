#include <boost/test/unit_test.hpp>

#include "gpClientsFixture.h"

// Whole requests of jobs that are larger than they look, or far too large.

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kMostTasks = 10'000;
constexpr std::size_t kMostSteps = 64;
constexpr std::size_t kSpecBytes = 4000;

const gpCrowdedPort&
Callers()
{
  return gpHttpPorts()[0];
}

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

/// Submissions with this body of as many different jobs.
std::vector<std::string>
MakeJobs(std::size_t aCount, const std::string& aBody)
{
  std::vector<std::string> jobs;
  for (std::size_t i = 0; i < aCount; ++i) {
    jobs.push_back(gpSubmission(gpTestJobId(i), aBody));
  }
  return jobs;
}

std::string
MakeBody(const std::string& aSpec, const std::string& aSteps)
{
  return R"({"bestEffort":true,"spec":")" + aSpec + R"(","steps":[)" + aSteps +
         "]}";
}

/// The longest spec, of tasks that run for a second.
std::string
MakeLongSpec()
{
  return R"({\"run_ms\":1000,\"x\":\")" + std::string(kSpecBytes - 100, 'x') +
         R"(\"})";
}

/// Steps of a job that depend on all earlier ones, and have one task each.
std::string
MakeManySteps()
{
  std::string steps;
  std::string earlier;
  for (std::size_t step = 0; step < kMostSteps; ++step) {
    steps +=
      (step == 0 ? "" : ",") +
      (R"({"count":1,"cpu":1000,"memMb":64,"dependsOn":[)" + earlier + "]}");
    earlier += (step == 0 ? "" : ",") + std::to_string(step);
  }
  return steps;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobSizes)

BOOST_AUTO_TEST_CASE(JobsWithManyTasks)
{
  constexpr std::size_t kJobs = 100;
  const std::string spec = MakeLongSpec();
  for (const char* needs : { R"("cpu":1000,"memMb":64)", R"("cpu":1)" }) {
    BOOST_TEST_CONTEXT(needs)
    {
      const std::string step =
        R"({"count":)" + std::to_string(kMostTasks) + "," + needs + "}";
      gpClientsFixture().Play(Callers(),
                              { kJobs, MakeJobs(kJobs, MakeBody(spec, step)) });
    }
  }
}

BOOST_AUTO_TEST_CASE(JobsWithManySteps)
{
  constexpr std::size_t kJobs = 2700;
  gpClientsFixture().Play(
    Callers(),
    { kJobs, MakeJobs(kJobs, MakeBody(MakeLongSpec(), MakeManySteps())) });
}

BOOST_AUTO_TEST_CASE(LargeJobs)
{
  const std::vector<std::pair<const char*, std::string>> bodies = {
    { "spec", MakeBody(std::string(12 * kMegabyte, 'x'), "") },
    { "nested", std::string(12 * kMegabyte, '[') },
    { "flat", MakeBody("", Repeat("1,", 7 * kMegabyte) + "1") },
    { "objects", MakeBody("", Repeat("{},", 5 * kMegabyte) + "{}") },
  };
  for (const auto& [name, body] : bodies) {
    BOOST_TEST_CONTEXT(name)
    {
      gpClientsFixture().Play(Callers(),
                              { 16, { gpSubmission(gpTestJobId(1), body) } });
    }
  }
}

BOOST_AUTO_TEST_CASE(ManyCancelledJobs)
{
  std::string cancels;
  for (std::size_t i = 0; i < 300; ++i) {
    cancels +=
      "DELETE /hold/" + gpTestJobId(i) + " HTTP/1.1\r\nHost: ponds\r\n\r\n";
  }
  gpClientsFixture().Play(Callers(), { 300, { cancels } });
}

BOOST_AUTO_TEST_SUITE_END()

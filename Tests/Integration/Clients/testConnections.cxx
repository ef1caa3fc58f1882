#include <boost/test/unit_test.hpp>

#include "gpClientsFixture.h"

// Connections that are idle, send ahead, don't read, or come and go.

namespace {

/// More connections than the smallest machine has descriptors for.
constexpr std::size_t kMostOfEntry = kEntryMachine.sockets_ + 300;
constexpr std::size_t kMostOfGuard = kGuardMachine.sockets_ + 300;
constexpr std::size_t kMany = 2700;
/// Bytes of requests that each connection sends ahead.
constexpr std::size_t kSentAhead = 100'000;
constexpr std::size_t kRounds = 20;
constexpr std::size_t kOfRound = 300;
constexpr std::size_t kShortBody = 60'000;

const std::string kMetricsRequest =
  "GET /metrics HTTP/1.1\r\nHost: ponds\r\n\r\n";

std::size_t
MoreThanAllOf(gpRole aRole)
{
  return aRole == gpRole::Entry ? kMostOfEntry : kMostOfGuard;
}

/// Requests that the entry answers only when the job has ended.
std::vector<std::string>
MakeLongJobs(std::size_t aCount)
{
  std::vector<std::string> jobs;
  for (std::size_t i = 0; i < aCount; ++i) {
    jobs.push_back(gpSubmission(
      gpTestJobId(i),
      R"({"spec":"{\"run_ms\":3000}","bestEffort":true,)"
      R"("steps":[{"count":1,"cpu":1,"memMb":1,"estimateMs":1}]})"));
  }
  return jobs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Connections)

BOOST_AUTO_TEST_CASE(MoreThanThereAreDescriptors)
{
  for (const gpCrowdedPort& port : gpHttpPorts()) {
    BOOST_TEST_CONTEXT(port.purpose_)
    {
      gpClientsFixture().Play(port, { MoreThanAllOf(port.role_), { "" } });
    }
  }
}

BOOST_AUTO_TEST_CASE(MoreThanThereAreDescriptorsAtAllPorts)
{
  gpClientsFixture().Play({ gpHttpPorts()[0],
                            gpHttpPorts()[1],
                            gpHttpPorts()[2],
                            { gpRole::Entry, "links" } },
                          { 1000, { "" } });
}

BOOST_AUTO_TEST_CASE(AnswersThatAreNotRead)
{
  for (const gpCrowdedPort& port : gpHttpPorts()) {
    BOOST_TEST_CONTEXT(port.purpose_)
    {
      gpCrowdPlan plan{ kMany, { "" }, kMetricsRequest, kSentAhead };
      plan.reads_ = false;
      gpClientsFixture().Play(port, plan);
    }
  }
}

BOOST_AUTO_TEST_CASE(RequestsSentAheadOfAJob)
{
  gpCrowdPlan plan{ kMany, MakeLongJobs(kMany), kMetricsRequest, kSentAhead };
  gpClientsFixture().Play(gpHttpPorts()[0], plan);
}

BOOST_AUTO_TEST_CASE(CrowdsThatComeAndGo)
{
  gpClientsFixture fixture;
  for (std::size_t round = 0; round < kRounds; ++round) {
    fixture.Play(gpHttpPorts()[0],
                 { kOfRound,
                   { gpAnnouncedBody(kShortBody) },
                   std::string(1000, 'x'),
                   kShortBody });
  }
}

BOOST_AUTO_TEST_SUITE_END()

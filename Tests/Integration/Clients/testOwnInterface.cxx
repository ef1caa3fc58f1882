#include <boost/test/unit_test.hpp>

#include "gpClientsFixture.h"
#include "gpProcessUsage.h"
#include "gpTestCluster.h"

// Crowds at the ports of processes that serve the product's own interface.

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kFew = 16;
constexpr std::size_t kMany = 2700;

const std::string kHead = "POST /v1/jobs HTTP/1.1\r\nHost: test\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string
MakeRequest(const std::string& aBody)
{
  return kHead + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

gpTestJob
MakeOrdinaryJob()
{
  gpTestJob job;
  static int last = 0;
  job.key_ = "ordinary-" + std::to_string(++last);
  job.tasks_.push_back(gpMakeTestTask(gpMillis(5)));
  return job;
}

/// Lets a crowd send to the HTTP port of an entry, and then of a guard.
void
Play(const gpCrowdPlan& aPlan, bool aAwaitsAnswers = false)
{
  gpRaiseDescriptorLimit();
  gpTestCluster cluster({ .entries_ = 1, .targets_ = 2 });
  cluster.Apply(cluster.DefaultConfiguration());
  cluster.WaitUntilReady();
  for (gpTestProcess* process : { &cluster.Entry(0), &cluster.Guard(0) }) {
    {
      gpCrowd crowd(process->Address("http"), aPlan);
      crowd.Send([] {});
      if (aAwaitsAnswers) {
        crowd.AwaitAnswers();
      }
    }
    BOOST_TEST(cluster.SubmitAndWait(0, MakeOrdinaryJob()).status_ == 200);
    BOOST_TEST_REQUIRE(process->IsRunning());
    BOOST_TEST(gpPeakMemoryOf(*process) < kEntryMachine.memoryBytes_);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnInterface)

BOOST_AUTO_TEST_CASE(TrailersWithoutEnd)
{
  Play({ kFew,
         { kChunkedHead + "0\r\n" },
         "X-Filler: " + std::string(980, 'x') + "\r\n",
         24 * kMegabyte });
}

BOOST_AUTO_TEST_CASE(LargeBodiesWithoutTheirEnd)
{
  Play({ kFew,
         { kHead + "Content-Length: 16000000\r\n\r\n" },
         std::string(1000, 'x'),
         16 * kMegabyte - 1000 });
}

BOOST_AUTO_TEST_CASE(ManySmallBodiesWithoutTheirEnd)
{
  Play({ kMany,
         { kHead + "Content-Length: 60000\r\n\r\n" },
         std::string(1000, 'x'),
         60'000 });
}

BOOST_AUTO_TEST_CASE(WholeLargeBodies)
{
  for (const std::size_t bytes : { 15 * kMegabyte, 3 * kMegabyte, kMegabyte }) {
    for (const char* task :
         { "{}", "1", "[]", R"({"path":"/","body":"xxxx"})" }) {
      BOOST_TEST_CONTEXT(bytes << " bytes of " << task)
      {
        std::string body = R"({"service":"pond-order","tasks":[)";
        while (body.size() < bytes) {
          body += std::string(task) + ",";
        }
        body += std::string(task) + "]}";
        Play({ kFew, { MakeRequest(body) } }, true);
      }
    }
  }
}

// The path of each of these duplicates has the long key.
BOOST_AUTO_TEST_CASE(DuplicatesBelowALongKey)
{
  std::string body = R"({")" + std::string(100'000, 'x') + R"(":{"a":1)";
  for (std::size_t i = 0; i < 3000; ++i) {
    body += R"(,"a":1)";
  }
  body += "}}";
  Play({ 1, { MakeRequest(body) } }, true);
}

BOOST_AUTO_TEST_SUITE_END()

#include <fstream>

#include <boost/test/unit_test.hpp>

#include "gpOperationsCluster.h"
#include "gpOperationsLoad.h"
#include "gpProcessUsage.h"
#include "gpRawSocket.h"
#include "gpTestFailure.h"

using boost::unit_test::timeout;

namespace {

constexpr int kAttempts = 64;
constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kMemoryBound = 64 * kMegabyte;
constexpr std::size_t kTooLargeBody = 17 * kMegabyte;
constexpr std::size_t kTooLargeHeader = 64U << 10U;
const std::string kPostHead = "POST /v1/jobs HTTP/1.1\r\nHost: test\r\n";

std::size_t
GrowthSince(std::size_t aBefore, const gpTestProcess& aProcess)
{
  const std::size_t now = gpMemoryOf(aProcess);
  return now > aBefore ? now - aBefore : 0;
}

/// The HTTP status of the server's answer to these bytes.
std::string
AnswerTo(const gpAddress& aServer, const std::string& aBytes)
{
  const gpRawSocket socket(aServer);
  socket.Send(aBytes);
  const std::string answer = socket.ReadToEnd();
  const std::string version = "HTTP/1.1 ";
  return answer.rfind(version, 0) == 0 ? answer.substr(version.size(), 3)
                                       : "no status";
}

/// A frame as sent on links: its length as 4 bytes, little-endian, then bytes.
std::string
Frame(std::uint32_t aLength, const std::string& aBytes)
{
  std::string frame;
  for (unsigned i = 0; i < sizeof(aLength); ++i) {
    frame.push_back(static_cast<char>((aLength >> (8 * i)) & 0xffU));
  }
  return frame + aBytes;
}

/** \class ServingCluster
 * \brief A cluster under load from other callers.
 */
struct ServingCluster
{
  ServingCluster()
  {
    cluster_.Apply(gpTestConfiguration({}));
    cluster_.WaitUntilReady();
    load_ = std::make_unique<gpOperationsLoad>(cluster_, 0, 8, gpMillis(20));
  }

  void RunLoad()
  {
    const std::size_t starts = cluster_.TotalStarts();
    load_->RunUntil("others are served",
                    [&] { return cluster_.TotalStarts() > starts + 20; });
  }

  void CheckLoadWasServed()
  {
    RunLoad();
    load_->Finish();
    BOOST_TEST(load_->GetIncorrectAnswers() == std::vector<std::string>(),
               boost::test_tools::per_element());
    BOOST_TEST(cluster_.MaxStartsOfAnyTask() == 1U);
    BOOST_TEST(cluster_.Entry(0).IsRunning());
    BOOST_TEST(cluster_.Guard(0).IsRunning());
    BOOST_TEST(cluster_.Entry(0).CountEvents("task_in_doubt") == 0U);
  }

  gpTestCluster cluster_{ { .entries_ = 1, .timings_ = gpQuickTimings() } };
  std::unique_ptr<gpOperationsLoad> load_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BadInput)

BOOST_AUTO_TEST_CASE(OtherCallersAreServedWhenACallerSendsBadHttp,
                     *timeout(kCaseSeconds))
{
  ServingCluster serving;
  const gpAddress entry = serving.cluster_.Entry(0).Address("http");
  const gpAddress guard = serving.cluster_.Guard(0).Address("http");
  const gpRawSocket slow(entry);
  const gpRawSocket slowToGuard(guard);
  slow.Send(kPostHead + "Content-Length: 10\r\n\r\nfive ");
  slowToGuard.Send(kPostHead);
  for (const gpAddress& server : { entry, guard }) {
    BOOST_TEST(AnswerTo(server, "no HTTP at all\r\n\r\n") == "400");
    std::string header = kPostHead + "Filler: ";
    header.append(kTooLargeHeader, 'x');
    BOOST_TEST(AnswerTo(server, header) == "431");
  }
  serving.RunLoad();
  BOOST_TEST(slow.ReadToEnd().rfind("HTTP/1.1 408", 0) == 0U);
  BOOST_TEST(slowToGuard.ReadToEnd().rfind("HTTP/1.1 408", 0) == 0U);
  serving.CheckLoadWasServed();
}

BOOST_AUTO_TEST_CASE(ErrorIsTypedWhenAJobIsMalformed, *timeout(kCaseSeconds))
{
  ServingCluster serving;
  gpTestCluster& cluster = serving.cluster_;
  const gpAddress http = cluster.Entry(0).Address("http");
  for (const std::string& body :
       { std::string("{\"service\": \"pond-"),
         std::string(R"({"service": "pond-order", "speed": 1})"),
         std::string(8U << 10U, '[') }) {
    cluster.Entry(0).Mark();
    const gpTestAnswer answer =
      gpReadAnswer(cluster.Http().Post(http, "/v1/jobs", body));
    BOOST_TEST(answer.status_ == 400);
    BOOST_TEST(answer.code_ == "bad_request");
    BOOST_TEST(answer.outcome_ == "not_run");
    cluster.Entry(0).WaitForEvent("bad_input");
  }
  serving.CheckLoadWasServed();
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedWhenBodiesAreTooLarge,
                     *timeout(kCaseSeconds))
{
  ServingCluster serving;
  gpTestProcess& entry = serving.cluster_.Entry(0);
  const gpAddress http = entry.Address("http");
  std::string chunk =
    kPostHead + "Transfer-Encoding: chunked\r\n\r\n1100000\r\n";
  chunk.append(kTooLargeBody, 'x');
  serving.RunLoad();
  const std::size_t before = gpMemoryOf(entry);
  for (int i = 0; i < kAttempts / 2; ++i) {
    BOOST_TEST(
      AnswerTo(http, kPostHead + "Content-Length: 1000000000\r\n\r\n") ==
      "413");
    const gpRawSocket chunked(http);
    chunked.Send(chunk);
    chunked.ReadToEnd();
  }
  BOOST_TEST(GrowthSince(before, entry) < kMemoryBound);
  serving.CheckLoadWasServed();
}

BOOST_AUTO_TEST_CASE(ErrorIsTypedAndMemoryBoundedWhenFramesAreBad,
                     *timeout(kCaseSeconds))
{
  ServingCluster serving;
  serving.RunLoad();
  for (gpTestProcess* process :
       { &serving.cluster_.Entry(0), &serving.cluster_.Guard(0) }) {
    const gpAddress links = process->Address("links");
    const std::size_t before = gpMemoryOf(*process);
    const std::string payload(kMegabyte, 'x');
    for (int i = 0; i < kAttempts; ++i) {
      const gpRawSocket socket(links);
      socket.Send(Frame(0xfffffff0U, payload));
      socket.ReadToEnd();
    }
    BOOST_TEST(GrowthSince(before, *process) < kMemoryBound);
    process->WaitForEvent("bad_input", { { "detail", "frame_too_large" } });
    const gpRawSocket garbage(links);
    garbage.Send(Frame(16, "sixteen bytes, x"));
    garbage.ReadToEnd();
    process->WaitForEvent("bad_input", { { "detail", "bad_frame" } });
  }
  serving.CheckLoadWasServed();
}

BOOST_AUTO_TEST_SUITE_END()

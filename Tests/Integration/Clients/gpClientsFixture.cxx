#include "gpClientsFixture.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "gpProcessUsage.h"

namespace {

constexpr int kOk = 200;
constexpr std::size_t kIdDigits = 16;
/// Pause before a refused job is submitted again; the shortest that a
/// Retry-After asks for.
constexpr gpMillis kRetryPause{ 1000 };

} // namespace

const std::vector<gpCrowdedPort>&
gpHttpPorts()
{
  static const std::vector<gpCrowdedPort> kPorts = {
    { gpRole::Entry, "callers" }, { gpRole::Entry, "status" },
    { gpRole::Entry, "metrics" }, { gpRole::Guard, "target" },
    { gpRole::Guard, "status" },
  };
  return kPorts;
}

gpClientsFixture::gpClientsFixture()
  : cluster_((gpRaiseDescriptorLimit(), 1), 1)
{
  cluster_.Configure(1);
  cluster_.WaitUntilReady();
}

gpTestProcess&
gpClientsFixture::ProcessOf(gpRole aRole)
{
  return aRole == gpRole::Entry ? cluster_.Entry(0) : cluster_.Guard(0);
}

gpAddress
gpClientsFixture::AddressOf(const gpCrowdedPort& aPort)
{
  return ProcessOf(aPort.role_).Address(aPort.purpose_);
}

void
gpClientsFixture::Play(const gpCrowdedPort& aPort, const gpCrowdPlan& aPlan)
{
  Play(std::vector<gpCrowdedPort>{ aPort }, aPlan);
}

void
gpClientsFixture::Play(const std::vector<gpCrowdedPort>& aPorts,
                       const gpCrowdPlan& aPlan)
{
  std::vector<std::unique_ptr<gpCrowd>> crowds;
  for (const gpCrowdedPort& port : aPorts) {
    crowds.push_back(std::make_unique<gpCrowd>(AddressOf(port), aPlan));
    NoteDescriptors();
  }
  for (const auto& crowd : crowds) {
    crowd->Send([this] { NoteDescriptors(); });
  }
  CheckIsServed("beside the crowd");
  NoteDescriptors();
  crowds.clear();
  CheckIsServed("after the crowd");
  CheckProcesses();
}

void
gpClientsFixture::NoteDescriptors()
{
  peakEntryDescriptors_ =
    std::max(peakEntryDescriptors_, gpOpenDescriptorsOf(cluster_.Entry(0)));
  peakGuardDescriptors_ =
    std::max(peakGuardDescriptors_, gpOpenDescriptorsOf(cluster_.Guard(0)));
}

void
gpClientsFixture::CheckProcesses()
{
  BOOST_TEST_REQUIRE(cluster_.Entry(0).IsRunning());
  BOOST_TEST_REQUIRE(cluster_.Guard(0).IsRunning());
  BOOST_TEST(gpPeakMemoryOf(cluster_.Entry(0)) < kEntryMachine.memoryBytes_);
  BOOST_TEST(gpPeakMemoryOf(cluster_.Guard(0)) < kGuardMachine.memoryBytes_);
  BOOST_TEST(peakEntryDescriptors_ < kEntryMachine.sockets_);
  BOOST_TEST(peakGuardDescriptors_ < kGuardMachine.sockets_);
}

void
gpClientsFixture::CheckIsServed(const std::string& aWhen)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  int status = 0;
  while (status != kOk && std::chrono::steady_clock::now() < end) {
    if (lastJob_ > 0 && status != 0) {
      std::this_thread::sleep_for(kRetryPause);
    }
    const std::string id = "f" + gpTestJobId(++lastJob_).substr(1);
    status = gpStatusOf(cluster_.Submit(0, id, 1, gpMillis(5)).reply_.get());
  }
  BOOST_TEST(status == kOk,
             "a job " + aWhen + " was answered " + std::to_string(status));
}

std::string
gpAnnouncedBody(std::size_t aBytes)
{
  return "POST /hold/" + gpTestJobId(1) +
         " HTTP/1.1\r\nHost: ponds\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n";
}

std::string
gpChunkedHead()
{
  return "POST /hold/" + gpTestJobId(1) +
         " HTTP/1.1\r\nHost: ponds\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string
gpSubmission(const std::string& aId, const std::string& aBody)
{
  return "POST /hold/" + aId + " HTTP/1.1\r\nHost: ponds\r\n" +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
gpTestJobId(std::size_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(kIdDigits - digits.size(), '0') + digits;
}

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include "gpClientsFixture.h"
#include "gpFrameCodec.h"

// Connections to the ports for links between the processes of the system.

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kMany = 2700;
constexpr std::size_t kFew = 16;
constexpr std::size_t kHelloBytes = 4096;
constexpr std::size_t kPrefixBytes = 4;
constexpr std::uint64_t kNonce = 77;

const std::vector<gpCrowdedPort> kLinkPorts = { { gpRole::Entry, "links" },
                                                { gpRole::Guard, "links" } };

/// The prefix of a payload of this length.
std::string
MakePrefix(std::size_t aBytes)
{
  std::string prefix;
  for (unsigned byte = 0; byte < kPrefixBytes; ++byte) {
    prefix.push_back(static_cast<char>(aBytes >> (8 * byte)));
  }
  return prefix;
}

/// Reads this many bytes, or fewer if the server closes.
std::string
Read(int aSocket, std::size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  const ssize_t count = recv(aSocket, bytes.data(), aBytes, MSG_WAITALL);
  bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  return bytes;
}

/// The valid hello of a new peer, in answer to that of the server.
std::string
MakeHello(int aSocket, gpRole aRole)
{
  static std::uint64_t lastIncarnation = 1000;
  // The hellos in these tests are shorter than 256 bytes, so the first byte of
  // the length prefix is the length.
  const std::string prefix = Read(aSocket, kPrefixBytes);
  const auto length =
    prefix.empty() ? 0U : static_cast<unsigned char>(prefix.front());
  const auto theirs = gpFrameCodec::DecodeHello(Read(aSocket, length));
  if (!theirs.ok()) {
    return ""; // the server has closed the connection
  }
  const gpPeer self{
    aRole, "crowd", gpIncarnation(++lastIncarnation), gpAddress("127.0.0.1:9")
  };
  const std::string hello = gpFrameCodec::EncodeHello(
    { gpFrameCodec::kProtocolVersion, self, kNonce, theirs->nonce_ });
  return MakePrefix(hello.size()) + hello;
}

/// The role of a peer that links with a process of this role.
gpRole
PeerOf(gpRole aRole)
{
  return aRole == gpRole::Entry ? gpRole::Guard : gpRole::Entry;
}

void
PlayAtEachPort(const gpCrowdPlan& aPlan)
{
  for (const gpCrowdedPort& port : kLinkPorts) {
    BOOST_TEST_CONTEXT((port.role_ == gpRole::Entry ? "entry" : "guard"))
    {
      gpClientsFixture().Play(port, aPlan);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinkClients)

BOOST_AUTO_TEST_CASE(ConnectionsThatSendNothing)
{
  PlayAtEachPort({ kMany, { "" } });
}

BOOST_AUTO_TEST_CASE(MoreConnectionsThanThereAreDescriptors)
{
  gpClientsFixture().Play(kLinkPorts[0],
                          { kEntryMachine.sockets_ + 300, { "" } });
  gpClientsFixture().Play(kLinkPorts[1],
                          { kGuardMachine.sockets_ + 300, { "" } });
}

BOOST_AUTO_TEST_CASE(HellosWithoutTheirEnd)
{
  PlayAtEachPort({ kMany, { MakePrefix(kHelloBytes) }, "x", kHelloBytes });
}

BOOST_AUTO_TEST_CASE(HellosOfManyPeers)
{
  for (const gpCrowdedPort& port : kLinkPorts) {
    gpCrowdPlan plan{ kMany, {} };
    plan.greet_ = [&](int aSocket) {
      return MakeHello(aSocket, PeerOf(port.role_));
    };
    gpClientsFixture().Play(port, plan);
  }
}

BOOST_AUTO_TEST_CASE(LargeFramesWithoutTheirEnd)
{
  constexpr std::size_t kFrameBytes = 60 * kMegabyte;
  for (const gpCrowdedPort& port : kLinkPorts) {
    gpCrowdPlan plan{ 4, {}, std::string(1000, 'x'), kFrameBytes - 1000 };
    plan.greet_ = [&](int aSocket) {
      return MakeHello(aSocket, PeerOf(port.role_)) + MakePrefix(kFrameBytes);
    };
    gpClientsFixture().Play(port, plan);
  }
}

BOOST_AUTO_TEST_CASE(ManySmallFramesWithoutTheirEnd)
{
  constexpr std::size_t kFrameBytes = 200'000;
  constexpr std::size_t kPeers = 1000;
  for (const gpCrowdedPort& port : kLinkPorts) {
    gpCrowdPlan plan{ kPeers, {}, std::string(1000, 'x'), kFrameBytes - 1000 };
    plan.greet_ = [&](int aSocket) {
      return MakeHello(aSocket, PeerOf(port.role_)) + MakePrefix(kFrameBytes);
    };
    gpClientsFixture().Play(port, plan);
  }
}

BOOST_AUTO_TEST_CASE(PayloadsThatAreFarTooLong)
{
  PlayAtEachPort({ kFew,
                   { MakePrefix(1000 * kMegabyte) },
                   std::string(1000, 'x'),
                   24 * kMegabyte });
}

BOOST_AUTO_TEST_SUITE_END()

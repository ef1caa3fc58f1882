#define BOOST_TEST_MODULE gpClients
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "gpClientsFixture.h"

// Requests whose sender doesn't come to an end, at each port that speaks HTTP.

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
/// A small crowd, and what each of it sends: together three times the memory of
/// the smallest machine.
constexpr std::size_t kFew = 16;
constexpr std::size_t kLongRequest = 24 * kMegabyte;
/// A crowd of the size of the descriptors that an entry can have, and what each
/// of it sends: together more than the memory of the smallest machine.
constexpr std::size_t kMany = 2700;
constexpr std::size_t kShortBody = 60'000;

void
PlayAtEachPort(const gpCrowdPlan& aPlan)
{
  for (const gpCrowdedPort& port : gpHttpPorts()) {
    BOOST_TEST_CONTEXT(port.purpose_
                       << (port.role_ == gpRole::Entry ? " of an entry"
                                                       : " of a guard"))
    {
      gpClientsFixture().Play(port, aPlan);
    }
  }
}

std::string
MakeChunk(std::size_t aBytes)
{
  std::ostringstream chunk;
  chunk << std::hex << aBytes << "\r\n" << std::string(aBytes, 'x') << "\r\n";
  return chunk.str();
}

/// A line of a header, with its end.
std::string
MakeField()
{
  return "X-Filler: " + std::string(980, 'x') + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(TrailersWithoutEnd)
{
  PlayAtEachPort(
    { kFew, { gpChunkedHead() + "0\r\n" }, MakeField(), kLongRequest });
}

BOOST_AUTO_TEST_CASE(AChunkExtensionWithoutEnd)
{
  PlayAtEachPort({ kFew,
                   { gpChunkedHead() + "1;e=" },
                   std::string(1000, 'x'),
                   kLongRequest });
}

BOOST_AUTO_TEST_CASE(AChunkSizeWithoutEnd)
{
  PlayAtEachPort(
    { kFew, { gpChunkedHead() }, std::string(1000, '0'), kLongRequest });
}

BOOST_AUTO_TEST_CASE(AHeaderWithoutEnd)
{
  PlayAtEachPort({ kFew, { "GET / HTTP/1.1\r\n" }, MakeField(), kLongRequest });
}

BOOST_AUTO_TEST_CASE(AChunkedBodyWithoutEnd)
{
  PlayAtEachPort({ kFew, { gpChunkedHead() }, MakeChunk(1000), kLongRequest });
}

BOOST_AUTO_TEST_CASE(AChunkedBodyOfSingleBytes)
{
  PlayAtEachPort({ kFew, { gpChunkedHead() }, MakeChunk(1), kLongRequest });
}

BOOST_AUTO_TEST_CASE(ABodyOverTheLimit)
{
  PlayAtEachPort({ kFew,
                   { gpAnnouncedBody(1'000'000 * kMegabyte) },
                   std::string(1000, 'x'),
                   kLongRequest });
}

BOOST_AUTO_TEST_CASE(ALargeBodyWithoutItsEnd)
{
  PlayAtEachPort({ kFew,
                   { gpAnnouncedBody(16 * kMegabyte) },
                   std::string(1000, 'x'),
                   16 * kMegabyte - 1000 });
}

BOOST_AUTO_TEST_CASE(ManySmallBodiesWithoutTheirEnd)
{
  PlayAtEachPort({ kMany,
                   { gpAnnouncedBody(kShortBody) },
                   std::string(1000, 'x'),
                   kShortBody });
}

BOOST_AUTO_TEST_CASE(ManySmallChunkedBodiesWithoutTheirEnd)
{
  PlayAtEachPort({ kMany, { gpChunkedHead() }, MakeChunk(1000), kShortBody });
}

BOOST_AUTO_TEST_CASE(ManyHeadersWithoutTheirEnd)
{
  PlayAtEachPort({ kMany, { "GET / HTTP/1.1\r\n" }, MakeField(), 16'000 });
}

BOOST_AUTO_TEST_CASE(ManyHeadersOfTinyFields)
{
  std::string head = gpAnnouncedBody(kShortBody);
  head.resize(head.size() - 2); // without the empty line
  while (head.size() < 16'000) {
    head += "a:b\r\n";
  }
  PlayAtEachPort({ kMany, { head + "\r\n" } });
}

BOOST_AUTO_TEST_CASE(BodiesThatAreOnlyAnnounced)
{
  PlayAtEachPort({ kMany, { gpAnnouncedBody(16 * kMegabyte) } });
}

BOOST_AUTO_TEST_CASE(BodiesWithoutTheirEndAtTwoPortsAtOnce)
{
  gpClientsFixture().Play({ gpHttpPorts()[0], gpHttpPorts()[1] },
                          { kFew,
                            { gpAnnouncedBody(16 * kMegabyte) },
                            std::string(1000, 'x'),
                            16 * kMegabyte - 1000 });
}

BOOST_AUTO_TEST_SUITE_END()

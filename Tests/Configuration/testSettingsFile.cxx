#include <boost/test/unit_test.hpp>

#include <string>

#include "gpError.h"
#include "gpLeaseSettingsFile.h"
#include "gpSettingsFile.h"

namespace {

// Settings with all required fields but the rack, which the caller passes along
// with further fields.
std::string
Settings(const std::string& aRack, const std::string& aMore)
{
  return R"({"name": "entry-1",
    "site": {"region": "gulf-south", "data_centre": "dc-1")" +
         aRack + R"(},
    "http": {"listen": "127.0.0.1:0"}, 
    "links": {"listen": "127.0.0.1:7000", "advertise": "127.0.0.1:7100"},
    "log_service": {"address": "127.0.0.1:9000"})" +
         aMore + "}";
}

const std::string kRack = R"(, "rack": "r1")";

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_AUTO_TEST_CASE(ReadsTheSettingsOfAnEntry)
{
  const auto entry = gpParseEntrySettings("entry.json", Settings("", ""));
  BOOST_REQUIRE_MESSAGE(entry.ok(), gpErrorText(entry.status()));
  BOOST_TEST(entry->name_ == "entry-1");
  BOOST_TEST(entry->site_.region_.value_ == "gulf-south");
  BOOST_TEST(entry->site_.dataCentre_.value_ == "dc-1");
  BOOST_TEST(entry->site_.rack_.value_.empty());
  BOOST_TEST(entry->httpListen_.value_ == "127.0.0.1:0");
  BOOST_TEST(entry->linkListen_.value_ == "127.0.0.1:7000");
  BOOST_TEST(entry->linkAdvertise_.value_ == "127.0.0.1:7100");
  BOOST_TEST(entry->logService_.value_ == "127.0.0.1:9000");
  BOOST_TEST(entry->eventLog_ == "-");
  BOOST_TEST(entry->timings_.claimReply_.count() == 250);
}

BOOST_AUTO_TEST_CASE(ReadsTheSettingsOfAGuard)
{
  const auto guard = gpParseGuardSettings("guard.json", Settings(kRack, R"(,
      "entries": ["127.0.0.1:7001", "127.0.0.1:7002"],
      "event_log": {"file": "events.jsonl"},
      "timings": {"heartbeat_ms": 1, "link_silence_ms": 2, "claim_reply_ms": 3,
                  "claim_total_ms": 4, "in_doubt_ms": 5,
                  "member_removal_ms": 6, "shutdown_ms": 0})"));
  BOOST_REQUIRE_MESSAGE(guard.ok(), gpErrorText(guard.status()));
  BOOST_TEST(guard->site_.rack_.value_ == "r1");
  BOOST_TEST(guard->entries_.size() == 2U);
  BOOST_TEST(guard->eventLog_ == "events.jsonl");
  BOOST_TEST(guard->timings_.heartbeat_.count() == 1);
  BOOST_TEST(guard->timings_.linkSilence_.count() == 2);
  BOOST_TEST(guard->timings_.claimReply_.count() == 3);
  BOOST_TEST(guard->timings_.claimTotal_.count() == 4);
  BOOST_TEST(guard->timings_.inDoubt_.count() == 5);
  BOOST_TEST(guard->timings_.memberRemoval_.count() == 6);
  BOOST_TEST(guard->timings_.shutdown_.count() == 0);
}

BOOST_AUTO_TEST_CASE(ErrorsHaveFilePathAndExpectedValue)
{
  const auto guard = gpParseGuardSettings("g.json", Settings("", R"(,
      "entries": ["127.0.0.1:0"], "timings": {"heartbeat_ms": 3000}, "x": 1)"));
  BOOST_TEST((gpErrorCodeOf(guard.status()) == gpErrorCode::BadSettings));
  BOOST_TEST(
    gpErrorText(guard.status()) ==
    "g.json#/site/rack: expected a name of 1 to 64 characters of a-z, 0-9 and "
    "'-'; the field is missing\n"
    "g.json#/timings/link_silence_ms: expected more than heartbeat_ms\n"
    "g.json#/entries/0: expected an IP address and a port, such as "
    "\"10.0.0.1:8080\"\n"
    "g.json#/x: expected no such field; the name is unknown here");
  const auto entry =
    gpParseEntrySettings("e.json", Settings("", R"(, "entries": [])"));
  BOOST_TEST(gpErrorText(entry.status()) ==
             "e.json#/entries: expected no such field; the name is unknown "
             "here");
  BOOST_TEST(!gpParseEntrySettings("e.json", "").ok());
}

BOOST_AUTO_TEST_CASE(ReadsTheLimitsOfClients)
{
  const auto usual = gpParseEntrySettings("entry.json", Settings("", ""));
  BOOST_REQUIRE(usual.ok());
  BOOST_TEST(usual->limits_.bodyBytes_ == kOwnInterfaceLimits.bodyBytes_);
  const auto entry = gpParseEntrySettings("entry.json", Settings("", R"(,
    "limits": {"connections": 9, "body_bytes": 2048, "memory_bytes": 65536,
               "descriptors": 300.5})"));
  BOOST_REQUIRE_MESSAGE(entry.ok(), gpErrorText(entry.status()));
  BOOST_TEST(entry->limits_.descriptors_ == 300U);
  BOOST_TEST(entry->limits_.connections_ == 9U);
  BOOST_TEST(entry->limits_.bodyBytes_ == 2048U);
  BOOST_TEST(entry->limits_.memoryBytes_ == 65536U);
}

// A limit of all that is smaller than the limit of one would refuse a request
// that is within the limits also when it's alone.
BOOST_AUTO_TEST_CASE(RejectsLimitsThatNoRequestFitsInto)
{
  const auto entry = gpParseEntrySettings("entry.json", Settings("", R"(,
    "limits": {"body_bytes": 1000000, "memory_bytes": 1000000,
               "frame_bytes": 1000000, "link_memory_bytes": 1000000,
               "connections": 0, "tasks": 20000})"));
  BOOST_REQUIRE((gpErrorCodeOf(entry.status()) == gpErrorCode::BadSettings));
  const std::string text = gpErrorText(entry.status());
  for (const char* field :
       { "memory_bytes", "link_memory_bytes", "connections", "tasks" }) {
    BOOST_TEST(text.find(std::string("limits/") + field) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ReadsTheLimitsOfBestEffortJobs)
{
  const std::string common = R"({"name": "n",
    "site": {"region": "r", "data_centre": "dc"},
    "links": {"listen": "127.0.0.1:0"}, "status": {"listen": "127.0.0.1:0"},
    "store": {"address": "127.0.0.1:9000"}, )";
  const std::string target = R"("target": {"address": "127.0.0.1:9001",
    "listen": "127.0.0.1:0", "service": "s"})";
  const auto entry = gpParseLeaseSettings(
    "e",
    common +
      R"("callers": {"listen": "127.0.0.1:0"}, "limits": {"tasks": 20000}})",
    gpRole::Entry);
  BOOST_REQUIRE_MESSAGE(entry.ok(), gpErrorText(entry.status()));
  BOOST_TEST(entry->limits_.tasks_ == 20000U);
  BOOST_TEST(entry->limits_.connections_ == kEntryClientLimits.connections_);
  const auto guard =
    gpParseLeaseSettings("g", common + target + "}", gpRole::Guard);
  BOOST_REQUIRE_MESSAGE(guard.ok(), gpErrorText(guard.status()));
  BOOST_TEST(guard->limits_.connections_ == kGuardClientLimits.connections_);
  // Only entries have tasks.
  const auto other = gpParseLeaseSettings(
    "g", common + target + R"(, "limits": {"tasks": 20000}})", gpRole::Guard);
  BOOST_TEST(!other.ok());
}

BOOST_AUTO_TEST_SUITE_END()

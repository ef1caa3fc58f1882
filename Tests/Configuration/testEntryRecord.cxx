#include <boost/test/unit_test.hpp>

#include "gpEntryRecord.h"
#include "gpError.h"

BOOST_AUTO_TEST_SUITE(EntryRecord)

BOOST_AUTO_TEST_CASE(ReadsWhatWasWritten)
{
  const gpKnownEntry entry{ gpAddress("10.0.0.1:7000"),
                            gpDataCentreName("dc-1"),
                            250 };
  const auto read = gpParseEntryRecord(gpRenderEntryRecord(entry));
  BOOST_REQUIRE(read.ok());
  BOOST_TEST((*read == entry));
}

BOOST_AUTO_TEST_CASE(IgnoresFieldsOfLaterVersions)
{
  BOOST_TEST(
    gpParseEntryRecord(
      R"({"address":"10.0.0.1:7000","data_centre":"dc-1","region":"r-1"})")
      .ok());
}

BOOST_AUTO_TEST_CASE(RejectsOtherRecords)
{
  for (const char* text : { "",
                            "10.0.0.1:7000",
                            "[]",
                            "{}",
                            R"({"address":1,"data_centre":"dc-1"})",
                            R"({"address":"10.0.0.1:7000"})",
                            R"({"address":"10.0.0.1:7000","data_centre":"dc-1",
                                "milli_cores":-1})" }) {
    const auto read = gpParseEntryRecord(text);
    BOOST_TEST((gpErrorCodeOf(read.status()) == gpErrorCode::BadRecord));
  }
}

BOOST_AUTO_TEST_CASE(RejectsFieldsOutOfRange)
{
  const std::string start = R"({"data_centre":"dc-1","address":)";
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  std::vector<std::string> odd;
  for (const char* address : { R"("10.0.0.1:0")",
                               R"("10.0.0.1:65536")",
                               R"("10.0.0.1:99999")",
                               R"("10.0.0.1:x")",
                               R"("10.0.0.1")",
                               "null",
                               "1e400",
                               "\"\xff:1\"" }) {
    odd.push_back(start + address + "}");
  }
  const std::string good = start + R"("10.0.0.1:7000")";
  for (const char* number :
       { "1.5", "1e400", "4294967296", "18446744073709551616", "\"1\"" }) {
    odd.push_back(good + R"(,"milli_cores":)" + number + "}");
  }
  odd.push_back(good + R"(,"address":"10.0.0.1:7001"})");
  odd.push_back(good + R"(,"more":)" + deep + "}");
  odd.push_back(deep);
  odd.push_back(R"({"address":"10.0.0.1:7000","data_centre":")" +
                std::string(1U << 20U, 'x') + "\"}");
  for (const std::string& text : odd) {
    BOOST_TEST_CONTEXT(text.substr(0, 200))
    {
      const auto read = gpParseEntryRecord(text);
      BOOST_TEST((gpErrorCodeOf(read.status()) == gpErrorCode::BadRecord));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_SUITE_END()

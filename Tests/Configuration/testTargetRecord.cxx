#include <boost/test/unit_test.hpp>

#include "gpError.h"
#include "gpTargetRecord.h"

BOOST_AUTO_TEST_SUITE(TargetRecord)

BOOST_AUTO_TEST_CASE(ReadsWhatWasWritten)
{
  gpTargetRecord record;
  gpTargetAnnouncement& target = record.target_;
  target.id_ = "t-\"1\"";
  target.startTime_ = 1766000000000;
  target.sequence_ = 4;
  target.service_ = gpServiceName("pond-order");
  target.draining_ = true;
  target.capacity_ = { 64000, 262144, 2 };
  target.labels_ = { "a", "r1-3" };
  record.capacityEnforced_ = true;
  const auto read = gpParseTargetRecord(gpRenderTargetRecord(record));
  BOOST_REQUIRE(read.ok());
  BOOST_TEST((*read == record));
}

BOOST_AUTO_TEST_CASE(ReadsRecordsOfAnOlderVersion)
{
  const auto read = gpParseTargetRecord(
    R"({"id":"t-1","start_time":1,"sequence":1,"service":"a",)"
    R"("milli_cores":1})");
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(!read->capacityEnforced_);
}

BOOST_AUTO_TEST_CASE(RejectsOtherRecords)
{
  for (const char* text :
       { "",
         "[]",
         "{}",
         R"({"id":"","start_time":1,"sequence":1,"service":"a",
             "milli_cores":1})",
         R"({"id":"t-1","start_time":-1,"sequence":1,"service":"a",
             "milli_cores":1})",
         R"({"id":"t-1","start_time":1,"sequence":1,"service":"a"})",
         R"({"id":"t-1","start_time":1,"sequence":1,"service":"a",
             "milli_cores":1,"draining":"no"})" }) {
    const auto read = gpParseTargetRecord(text);
    BOOST_TEST((gpErrorCodeOf(read.status()) == gpErrorCode::BadRecord));
  }
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_CASE(RejectsFieldsOutOfRange)
{
  const std::string start =
    R"({"start_time":1,"sequence":1,"service":"a","milli_cores":)";
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const std::string huge(1U << 20U, 'x');
  std::vector<std::string> odd;
  const auto add =
    [&](std::string aStart, const std::string& aValue, const char* aEnd) {
      aStart += aValue;
      aStart += aEnd;
      odd.push_back(std::move(aStart));
    };
  for (const std::string& number : { std::string("-1"),
                                     std::string("1.5"),
                                     std::string("1e400"),
                                     std::string("\"1\""),
                                     std::string("18446744073709551615"),
                                     std::to_string(kMaxTargetResource + 1) }) {
    add(start, number, R"(,"id":"t-1"})");
    add(start + R"(1,"id":"t-1","memory_mb":)", number, "}");
    add(start + R"(1,"id":"t-1","accelerators":)", number, "}");
  }
  // The ID is sent in a header, which it must neither split nor overflow.
  for (const std::string& id :
       { std::string("t-1\\r\\nhost: x"), std::string("t 1"), huge }) {
    add(start + R"(1,"id":")", id, "\"}");
  }
  odd.push_back(start + R"(1,"id":"t-1","labels":)" + deep + "}");
  odd.push_back(start + "1,\"id\":\"t-\xff\"}");
  odd.push_back(deep);
  for (const std::string& text : odd) {
    BOOST_TEST_CONTEXT(text.substr(0, 200))
    {
      const auto read = gpParseTargetRecord(text);
      BOOST_TEST((gpErrorCodeOf(read.status()) == gpErrorCode::BadRecord));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

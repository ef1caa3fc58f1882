#include <boost/test/unit_test.hpp>

#include "gpError.h"
#include "gpPlatformHeartbeat.h"

namespace {

absl::StatusOr<gpAnnouncementCall>
Parse(const std::string& aMethod, const std::string& aBody)
{
  gpHttpRequest request;
  request.method_ = aMethod;
  request.target_ = "/v1/instances/i-7f3a91c2";
  request.body_ = aBody;
  return gpPlatformHeartbeat().Parse(request);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformHeartbeat)

BOOST_AUTO_TEST_CASE(ReadsAHeartbeat)
{
  const auto call = Parse(
    "PUT",
    R"({"service":"ponds","address":"10.1.0.9:80","state":"draining",)"
    R"("capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],)"
    R"("clockMs":5,"sequence":4,"born":1767773015592})");
  BOOST_REQUIRE(call.ok());
  const auto& target = std::get<gpHeartbeatReceived>(*call).target_;
  BOOST_TEST(target.id_ == "i-7f3a91c2");
  BOOST_TEST(target.service_.value_ == "ponds");
  BOOST_TEST(target.startTime_ == 1767773015592U);
  BOOST_TEST(target.sequence_ == 4U);
  BOOST_TEST(target.draining_);
  BOOST_TEST(target.capacity_.milliCores_ == 16000U);
  BOOST_TEST(target.labels_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReadsTheEndOfAnInstance)
{
  const auto call = Parse("DELETE", "");
  BOOST_REQUIRE(call.ok());
  BOOST_TEST(std::get<gpTargetEnded>(*call).id_ == "i-7f3a91c2");
}

BOOST_AUTO_TEST_CASE(RefusesInvalidHeartbeats)
{
  for (const char* body : {
         "",
         "\x01\x02",
         "{}",
         R"({"service":"p","state":"ready","sequence":1})",
         R"({"service":7,"state":"ready","sequence":1,"capacity":{}})",
         R"({"service":"p","state":"odd","sequence":1,"capacity":{}})",
         R"({"service":"p","state":"ready","sequence":-1,"capacity":{}})",
         R"({"service":"p","state":"ready","sequence":1,"capacity":[]})",
         R"({"service":"p","state":"ready","sequence":1,)"
         R"("capacity":{"cpu":"x"}})",
         R"({"service":"p","state":"ready","sequence":1,"capacity":{},)"
         R"("born":1.5})",
         R"({"service":"p","state":"ready","sequence":1,"capacity":{},)"
         R"("labels":[1]})",
       }) {
    BOOST_TEST_CONTEXT(body)
    BOOST_CHECK(gpErrorCodeOf(Parse("PUT", body).status()) ==
                gpErrorCode::BadRequest);
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include <map>

#include <boost/test/unit_test.hpp>

#include "gpError.h"
#include "gpFrameCodec.h"
#include "gpPlatformHeartbeat.h"

namespace {

constexpr const char* kPath = "/v1/instances/i-7f3a91c2";
/// Levels at which a reader that calls itself for each would end the process.
constexpr std::size_t kManyLevels = 100000;

absl::StatusOr<gpAnnouncementCall>
Parse(const std::string& aMethod,
      const std::string& aBody,
      const std::string& aPath = kPath)
{
  gpHttpRequest request;
  request.method_ = aMethod;
  request.target_ = aPath;
  request.body_ = aBody;
  return gpPlatformHeartbeat().Parse(request);
}

using Fields = std::map<std::string, std::string>;

/// The fields of a whole heartbeat, with their values as JSON.
Fields
WholeFields()
{
  return { { "service", R"("ponds")" },
           { "address", R"("10.1.0.9:80")" },
           { "zone", R"("erie-floor")" },
           { "version", R"("v1")" },
           { "slots", "8" },
           { "state", R"("ready")" },
           { "coldLeftMs", "0" },
           { "drainRemainingMs", "0" },
           { "capacity", R"({"cpu":16000,"memMb":32768,"gpu":1})" },
           { "labels", R"(["a","r1-3"])" },
           { "clockMs", "5" },
           { "sequence", "4" },
           { "born", "1767773015592" } };
}

std::string
Render(const Fields& aFields)
{
  std::string body;
  for (const auto& [key, value] : aFields) {
    body += body.empty() ? "{\"" : ",\"";
    body += key;
    body += "\":";
    body += value;
  }
  return body + "}";
}

std::string
WholeWith(const std::string& aKey, const std::string& aValue)
{
  Fields fields = WholeFields();
  fields[aKey] = aValue;
  return Render(fields);
}

std::string
WholeWithout(const std::string& aKey)
{
  Fields fields = WholeFields();
  fields.erase(aKey);
  return Render(fields);
}

/// An array in an array in an array, and so on.
std::string
Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

/// Whether the heartbeat is refused, with an error that names this field.
void
CheckRefused(const std::string& aBody, const std::string& aField)
{
  BOOST_TEST_CONTEXT(aBody.substr(0, 300))
  {
    const absl::Status status = Parse("PUT", aBody).status();
    BOOST_CHECK(gpErrorCodeOf(status) == gpErrorCode::BadRequest);
    BOOST_TEST(gpErrorText(status).find(aField) != std::string::npos,
               gpErrorText(status) << " doesn't name " << aField);
  }
}

/// Values that are neither a text nor a number that a heartbeat may have.
const std::vector<std::string> kOddValues = {
  "null", "true", "-1", "[]", "{}", "1e400", "-1e400", "18446744073709551616"
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformHeartbeat)

BOOST_AUTO_TEST_CASE(ReadsAHeartbeat)
{
  const auto call = Parse(
    "PUT",
    R"({"service":"ponds","address":"10.1.0.9:80","state":"draining",)"
    R"("zone":"erie-floor","version":"v1","slots":8,)"
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

BOOST_AUTO_TEST_CASE(ReadsAWholeHeartbeat)
{
  BOOST_TEST(Parse("PUT", Render(WholeFields())).ok());
  for (const char* optional :
       { "coldLeftMs", "drainRemainingMs", "labels", "born" }) {
    BOOST_TEST_CONTEXT(optional)
    BOOST_TEST(Parse("PUT", WholeWithout(optional)).ok());
  }
  BOOST_TEST(Parse("PUT", WholeWith("capacity", R"({"cpu":1})")).ok());
  BOOST_TEST(Parse("PUT", WholeWith("coldLeftMs", "12.5")).ok());
  BOOST_TEST(Parse("PUT", WholeWith("address", R"("[::1]:65535")")).ok());
  // Fields that this version doesn't know are ignored.
  BOOST_TEST(Parse("PUT", WholeWith("later", "null")).ok());
}

BOOST_AUTO_TEST_CASE(RefusesAHeartbeatThatLacksAField)
{
  for (const char* field : { "service",
                             "address",
                             "zone",
                             "version",
                             "slots",
                             "state",
                             "capacity",
                             "sequence",
                             "clockMs" }) {
    CheckRefused(WholeWithout(field), field);
  }
  CheckRefused(WholeWith("capacity", R"({"memMb":1})"), "cpu");
}

BOOST_AUTO_TEST_CASE(RefusesFieldsOfAnotherType)
{
  for (const auto& [field, value] : WholeFields()) {
    for (const std::string& odd : kOddValues) {
      const bool isEmptyList = field == "labels" && odd == "[]";
      if (!isEmptyList) {
        CheckRefused(WholeWith(field, odd), field);
      }
    }
  }
  for (const char* field : { "slots", "clockMs", "sequence", "born" }) {
    CheckRefused(WholeWith(field, "1.5"), field);
    CheckRefused(WholeWith(field, R"("1")"), field);
    CheckRefused(WholeWith(field, "18446744073709551615"), field);
  }
  for (const char* field : { "coldLeftMs", "drainRemainingMs" }) {
    CheckRefused(WholeWith(field, R"("1")"), field);
    CheckRefused(WholeWith(field, "18446744073709551615"), field);
  }
  for (const char* field : { "service", "address", "zone", "version" }) {
    CheckRefused(WholeWith(field, R"("")"), field);
    CheckRefused(WholeWith(field, "7"), field);
  }
  CheckRefused(WholeWith("state", R"("odd")"), "state");
  CheckRefused(WholeWith("capacity", R"({"cpu":"x"})"), "cpu");
  CheckRefused(WholeWith("labels", "[1]"), "labels");
  CheckRefused(WholeWith("labels", R"(["a",null])"), "labels");
}

BOOST_AUTO_TEST_CASE(RefusesAddressesWithoutAPort)
{
  for (const char* address : { "10.1.0.9",
                               "10.1.0.9:",
                               ":80",
                               "10.1.0.9:0",
                               "10.1.0.9:65536",
                               "10.1.0.9:99999",
                               "10.1.0.9:4294967376",
                               "10.1.0.9:-1",
                               "10.1.0.9:+80",
                               "10.1.0.9: 80",
                               "10.1.0.9:80x",
                               "10.1.0.9:http" }) {
    CheckRefused(WholeWith("address", '"' + std::string(address) + '"'),
                 "address");
  }
}

BOOST_AUTO_TEST_CASE(RefusesACapacityThatIsTooLarge)
{
  const std::string most = std::to_string(kMaxTargetResource);
  const std::string more = std::to_string(kMaxTargetResource + 1);
  BOOST_TEST(
    Parse("PUT", WholeWith("capacity", R"({"cpu":)" + most + "}")).ok());
  for (const std::string& value :
       { more, std::string("18446744073709551615"), std::string("1e400") }) {
    CheckRefused(WholeWith("capacity", R"({"cpu":)" + value + "}"), "cpu");
    CheckRefused(WholeWith("capacity", R"({"cpu":1,"memMb":)" + value + "}"),
                 "memMb");
    CheckRefused(WholeWith("capacity", R"({"cpu":1,"gpu":)" + value + "}"),
                 "gpu");
  }
}

BOOST_AUTO_TEST_CASE(EntriesCanReadTheLargestCapacity)
{
  const auto call =
    Parse("PUT",
          WholeWith("capacity",
                    R"({"cpu":)" + std::to_string(kMaxTargetResource) + "}"));
  BOOST_REQUIRE(call.ok());
  gpFrame frame;
  gpTargetUpdate update;
  update.capacity_ = std::get<gpHeartbeatReceived>(*call).target_.capacity_;
  frame.messages_.emplace_back(update);
  BOOST_TEST(gpFrameCodec::DecodeFrame(gpFrameCodec::EncodeFrame(frame)).ok());
}

BOOST_AUTO_TEST_CASE(RefusesBytesThatArentJson)
{
  const std::string whole = Render(WholeFields());
  CheckRefused(whole.substr(0, whole.size() - 1), "not JSON");
  CheckRefused(whole + whole, "not JSON");
  CheckRefused(WholeWith("zone", "\"\xc3\x28\""), "not JSON");
  CheckRefused(std::string(1U << 20U, '\0'), "not JSON");
  CheckRefused(WholeWith("deep", Nested(kManyLevels)), "not JSON");
  CheckRefused(WholeWith("labels", Nested(kManyLevels)), "not JSON");
  CheckRefused(Nested(kManyLevels), "not JSON");
}

BOOST_AUTO_TEST_CASE(RefusesHugeTexts)
{
  const std::string huge(4U << 20U, 'x');
  for (const char* field : { "service", "zone", "version" }) {
    CheckRefused(WholeWith(field, '"' + huge + '"'), field);
  }
  CheckRefused(WholeWith("address", '"' + huge + '"'), "address");
  CheckRefused(WholeWith("labels", "[\"" + huge + "\"]"), "labels");
  std::string many = R"(["a")";
  for (int i = 0; i < 100000; ++i) {
    many += R"(,"a")";
  }
  CheckRefused(WholeWith("labels", many + "]"), "labels");
}

BOOST_AUTO_TEST_CASE(TheLastOfEqualKeysIsCheckedToo)
{
  const std::string whole = Render(WholeFields());
  CheckRefused(whole.substr(0, whole.size() - 1) + R"(,"sequence":-1})",
               "sequence");
}

BOOST_AUTO_TEST_CASE(RefusesOddIds)
{
  const std::string prefix = "/v1/instances/";
  for (const std::string& id : { std::string(),
                                 std::string("a/b"),
                                 std::string("a?b=1"),
                                 std::string("a b"),
                                 std::string("a\r\nx: y"),
                                 std::string("a\xff"),
                                 std::string(kMaxTargetIdBytes + 1, 'a'),
                                 std::string(1U << 20U, 'a') }) {
    BOOST_TEST_CONTEXT(id.substr(0, 300))
    for (const char* method : { "PUT", "DELETE" }) {
      const auto call = Parse(method, Render(WholeFields()), prefix + id);
      BOOST_CHECK(gpErrorCodeOf(call.status()) == gpErrorCode::BadRequest);
      BOOST_TEST(gpErrorText(call.status()).starts_with("id"));
    }
  }
  const std::string longest(kMaxTargetIdBytes, 'a');
  BOOST_TEST(Parse("PUT", Render(WholeFields()), prefix + longest).ok());
}

BOOST_AUTO_TEST_SUITE_END()

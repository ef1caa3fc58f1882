#include <optional>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include "gpError.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpHttpServer.h"
#include "gpPlatformStore.h"
#include "gpTestLoop.h"

namespace {

struct Fixture
{
  gpEventLoop loop_;
  gpHttpClient client_{ loop_, 1 };
  gpPlatformStore store_{ client_, gpAddress("127.0.0.1:1"), 24 };
};

/// A store that answers each call with the next of these bodies, and the last
/// one again.
struct StoreFixture
{
  explicit StoreFixture(std::vector<std::string> aBodies)
    : bodies_(std::move(aBodies))
  {
  }

  absl::StatusOr<gpStorePage> ReadNewest()
  {
    return Read([](gpPlatformStore& aStore, auto aHandler) {
      aStore.ReadNewest(gpStoreTopic::Entries, std::move(aHandler));
    });
  }
  absl::StatusOr<gpStorePage> ReadFrom()
  {
    return Read([](gpPlatformStore& aStore, auto aHandler) {
      aStore.ReadFrom(gpStoreTopic::Entries,
                      gpLogOffset(5),
                      gpMillis(0),
                      std::move(aHandler));
    });
  }

  template<typename Call>
  absl::StatusOr<gpStorePage> Read(Call aCall)
  {
    const auto address = server_.Listen(gpAddress("127.0.0.1:0"));
    BOOST_REQUIRE(address.ok());
    gpPlatformStore store(client_, *address, 24);
    std::optional<absl::StatusOr<gpStorePage>> page;
    aCall(store, [&](absl::StatusOr<gpStorePage> aPage) {
      page.emplace(std::move(aPage));
    });
    gpRunUntil(
      loop_, [&] { return page.has_value() || targets_.size() > kMostCalls; });
    BOOST_REQUIRE(page.has_value());
    return std::move(*page);
  }

  static constexpr std::size_t kMostCalls = 20;
  std::vector<std::string> bodies_;
  std::vector<std::string> targets_;
  gpEventLoop loop_;
  gpHttpClient client_{ loop_, 1 };
  gpHttpServer server_{
    loop_,
    {},
    { [this](gpRequestId aRequest, const gpHttpRequest& aHttp) {
       gpHttpResponse response;
       response.body_ = bodies_[std::min(targets_.size(), bodies_.size() - 1)];
       targets_.push_back(aHttp.target_);
       server_.Respond(aRequest, std::move(response));
     },
      [](gpRequestId) {} }
  };
};

const std::string kGood = R"({"key":"entry-1","value":"e30=","offset":1})";

/// A record as the store sends it, with a length of one byte.
std::string
Record(const std::string& aContent)
{
  return std::string(3, '\0') + static_cast<char>(aContent.size()) + aContent;
}

const std::string kOffsets(16, '\0');

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformStore, Fixture)

BOOST_AUTO_TEST_CASE(ReadsQueues)
{
  const auto queues = store_.ParseQueues(
    R"({"version":7,"routes":[{"name":"r-1","host":"a.example",)"
    R"("pathPrefix":"/x/","type":"non_idempotent","timeoutMs":1500,)"
    R"("sloMs":60,"priority":2,"service":"ponds","maxAttempts":4,)"
    R"("stretch":1.6},{"name":"r-2","host":"a.example",)"
    R"("pathPrefix":"/x/y/","service":"ponds"}],"services":[{"name":"ponds","enforcesCapacity":true}]})");
  BOOST_REQUIRE(queues.ok());
  BOOST_TEST(queues->version_.value_ == 7U);
  const gpQueue* queue = queues->Find("a.example", "/x/5c0e7a21d94b36f8");
  BOOST_REQUIRE(queue != nullptr);
  BOOST_TEST(queue->name_.value_ == "r-1");
  BOOST_TEST(queue->maxAttempts_ == 4U);
  BOOST_TEST(queue->stretch_ == 1.6);
  BOOST_TEST(queue->allowance_.count() == 60);
  BOOST_TEST(queue->targetsEnforceCapacity_);
  // The longest matching prefix decides.
  BOOST_TEST(queues->Find("a.example", "/x/y/1")->name_.value_ == "r-2");
  BOOST_CHECK(queues->Find("b.example", "/x/1") == nullptr);
  BOOST_CHECK(queues->Find("a.example", "/z/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(RefusesInvalidQueues)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"version":"7"})",
                            R"({"version":7,"routes":{}})",
                            R"({"version":7,"routes":[{"name":"r"}]})",
                            R"({"version":7,"routes":[3]})" }) {
    BOOST_TEST_CONTEXT(text)
    BOOST_CHECK(gpErrorCodeOf(store_.ParseQueues(text).status()) ==
                gpErrorCode::BadConfiguration);
  }
}

BOOST_AUTO_TEST_CASE(RefusesQueuesWithFieldsOutOfRange)
{
  const std::string start =
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
    R"("service":"ponds",")";
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  BOOST_TEST(store_.ParseQueues(start + R"(stretch":1}]})").ok());
  for (const char* field : { "priority", "maxAttempts", "stretch" }) {
    for (const std::string& odd : { std::string("-1"),
                                    std::string("4294967296"),
                                    std::string("18446744073709551616"),
                                    std::string("1e400"),
                                    std::string("null"),
                                    std::string("\"1\""),
                                    deep }) {
      BOOST_TEST_CONTEXT(field << " " << odd.substr(0, 50))
      {
        const auto queues =
          store_.ParseQueues(absl::StrCat(start, field, "\":", odd, "}]}"));
        BOOST_CHECK(gpErrorCodeOf(queues.status()) ==
                    gpErrorCode::BadConfiguration);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AnOddItemLeavesThoseBesideIt)
{
  for (const char* odd : { "5",
                           "null",
                           "[]",
                           "{}",
                           R"({"key":7,"value":"e30="})",
                           R"({"value":"e30="})",
                           R"({"key":"odd","value":7})",
                           R"({"key":"odd","value":"not base64!"})" }) {
    BOOST_TEST_CONTEXT(odd)
    {
      StoreFixture store({ R"({"items":[)" + std::string(odd) + "," + kGood +
                           R"(],"hasMore":false,"end":9})" });
      const auto page = store.ReadNewest();
      BOOST_REQUIRE(page.ok());
      BOOST_REQUIRE(page->records_.size() == 1U);
      BOOST_TEST(page->records_[0].key_ == "entry-1");
      BOOST_REQUIRE(page->faults_.size() == 1U);
      BOOST_TEST((gpErrorCodeOf(page->faults_[0]) == gpErrorCode::BadRecord));
      BOOST_TEST(page->next_.value_ == 9U);
    }
  }
}

BOOST_AUTO_TEST_CASE(AKeyWithBrokenUtf8LeavesThoseBesideIt)
{
  StoreFixture store(
    { "{\"items\":[{\"key\":\"\xc3\x28\",\"value\":\"e30=\"}," + kGood +
      R"(],"hasMore":false,"end":9})" });
  const auto page = store.ReadNewest();
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page->records_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AKeyWithAnyBytesIsContinuedAfter)
{
  StoreFixture store(
    { R"({"items":[{"key":"a b&c=\r\nx","value":""}],"hasMore":true,"end":9})",
      R"({"items":[)" + kGood + R"(],"hasMore":false,"end":10})" });
  const auto page = store.ReadNewest();
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page->records_.size() == 2U);
  BOOST_TEST(page->next_.value_ == 9U);
  BOOST_REQUIRE(store.targets_.size() == 2U);
  BOOST_TEST(store.targets_[1].ends_with("&dependsOn=a%20b%26c%3D%0D%0Ax"));
}

BOOST_AUTO_TEST_CASE(PagesWithoutANewKeyEnd)
{
  for (const std::string& items :
       { std::string("{}"), std::string(R"({"key":"","value":""})"), kGood }) {
    BOOST_TEST_CONTEXT(items)
    {
      StoreFixture store(
        { R"({"items":[)" + items + R"(],"hasMore":true,"end":9})" });
      BOOST_TEST(store.ReadNewest().ok());
      BOOST_TEST(store.targets_.size() <= 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(PagesThatCantBeReadAreTypedErrors)
{
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  for (const std::string& body :
       { std::string(),
         std::string("[]"),
         std::string("{}"),
         std::string(R"({"items":{},"end":1})"),
         std::string(R"({"items":[],"end":-1})"),
         std::string(R"({"items":[],"end":1e400})"),
         std::string(R"({"items":[],"end":18446744073709551616})"),
         R"({"end":1,"items":)" + deep + "}" }) {
    BOOST_TEST_CONTEXT(body.substr(0, 100))
    {
      const auto page = StoreFixture({ body }).ReadNewest();
      BOOST_TEST((gpErrorCodeOf(page.status()) == gpErrorCode::BadRecord));
    }
  }
}

BOOST_AUTO_TEST_CASE(AnOddRecordLeavesThoseBesideIt)
{
  for (const std::string& odd : { std::string(),
                                  std::string("\x09"
                                              "abc") }) {
    StoreFixture store({ kOffsets + Record(odd) +
                         Record("\x01"
                                "a{}") });
    const auto page = store.ReadFrom();
    BOOST_REQUIRE(page.ok());
    BOOST_REQUIRE(page->records_.size() == 1U);
    BOOST_TEST(page->records_[0].key_ == "a");
    BOOST_TEST(page->faults_.size() == 1U);
    BOOST_TEST(page->next_.value_ == 7U);
  }
}

BOOST_AUTO_TEST_CASE(RecordsBeforeATruncatedOneAreRead)
{
  const std::string cut = std::string(4, '\xff') + "abc";
  const auto page = StoreFixture({ kOffsets +
                                   Record("\x01"
                                          "a{}") +
                                   cut })
                      .ReadFrom();
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page->records_.size() == 1U);
  BOOST_TEST(page->next_.value_ == 6U);
  for (const std::string& body : { std::string("short"), kOffsets + cut }) {
    const auto odd = StoreFixture({ body }).ReadFrom();
    BOOST_TEST((gpErrorCodeOf(odd.status()) == gpErrorCode::BadRecord));
  }
}

BOOST_AUTO_TEST_CASE(OnlyOneRecordHoldsTheQueues)
{
  BOOST_TEST(store_.HoldsQueues({ "config", "{}" }));
  BOOST_TEST(!store_.HoldsQueues({ "config", "" }));
  BOOST_TEST(!store_.HoldsQueues({ "wave/1", "{}" }));
}

BOOST_AUTO_TEST_SUITE_END()

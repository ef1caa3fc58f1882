#include <boost/test/unit_test.hpp>

#include "gpError.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpPlatformStore.h"

namespace {

struct Fixture
{
  gpEventLoop loop_;
  gpHttpClient client_{ loop_, 1 };
  gpPlatformStore store_{ client_, gpAddress("127.0.0.1:1"), 24 };
};

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

BOOST_AUTO_TEST_CASE(OnlyOneRecordHoldsTheQueues)
{
  BOOST_TEST(store_.HoldsQueues({ "config", "{}" }));
  BOOST_TEST(!store_.HoldsQueues({ "config", "" }));
  BOOST_TEST(!store_.HoldsQueues({ "wave/1", "{}" }));
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE gpLogClient
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gpError.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpHttpServer.h"
#include "gpLogClient.h"
#include "gpTestLoop.h"
#include "gpTimerService.h"

namespace {

constexpr gpMillis kLong{ 60000 };

/// A log service whose responses the test sends.
struct Fixture
{
  Fixture() { address_ = Listen(gpAddress("127.0.0.1:0")); }

  gpAddress Listen(const gpAddress& aAddress)
  {
    server_.emplace(loop_,
                    gpHttpLimits(),
                    gpHttpServer::Handlers{
                      [this](gpRequestId aId, const gpHttpRequest& aRequest) {
                        ids_.push_back(aId);
                        requests_.push_back(aRequest);
                      },
                      nullptr });
    return *server_->Listen(aAddress);
  }

  void AwaitRequest(std::size_t aCount)
  {
    gpRunUntil(loop_, [&] { return ids_.size() >= aCount; });
  }

  /// Answers the last request.
  void Answer(int aStatus, const std::string& aBody)
  {
    gpHttpResponse response;
    response.status_ = aStatus;
    response.body_ = aBody;
    server_->Respond(ids_.back(), response);
  }

  void Append()
  {
    log_->Append("roster", "{\"a\":1}", kLong, [this](const auto& aOffset) {
      appended_ = aOffset;
    });
  }

  gpErrorCode AwaitAppend()
  {
    gpRunUntil(loop_, [&] { return appended_.has_value(); });
    return gpErrorCodeOf(appended_->status());
  }

  void Read()
  {
    read_.reset();
    log_->Read("roster", gpLogOffset(3), kLong, [this](const auto& aBatch) {
      read_ = aBatch;
    });
  }

  gpErrorCode AwaitRead()
  {
    gpRunUntil(loop_, [&] { return read_.has_value(); });
    return gpErrorCodeOf(read_->status());
  }

  void Follow()
  {
    log_->Follow(
      "roster",
      gpLogOffset(3),
      [this](const gpLogBatch& aBatch) { batches_.push_back(aBatch); },
      [this](const absl::Status& aHealth) {
        health_.push_back(gpErrorCodeOf(aHealth));
      });
  }

  gpEventLoop loop_;
  gpTimerService timers_{ loop_ };
  gpHttpClient http_{ loop_, 4 };
  std::optional<gpHttpServer> server_;
  gpAddress address_;
  std::vector<gpRequestId> ids_;
  std::vector<gpHttpRequest> requests_;
  std::optional<absl::StatusOr<gpLogOffset>> appended_;
  std::optional<absl::StatusOr<gpLogBatch>> read_;
  std::vector<gpLogBatch> batches_;
  std::vector<gpErrorCode> health_;
  std::optional<gpLogClient> log_;
};

struct LogFixture : Fixture
{
  LogFixture() { log_.emplace(loop_, timers_, http_, address_); }
};

const std::string kEmpty = R"({"earliest":0,"next":3,"records":[]})";
const std::string kOneRecord =
  R"({"earliest":0,"next":5,"records":[{"offset":4,"data":"x"}]})";

const std::string kTwice =
  R"({"earliest":0,"next":3,"records":[{"offset":1,"data":"x"},)"
  R"({"offset":1,"data":"y"}]})";

} // namespace

BOOST_FIXTURE_TEST_CASE(AnAppendGetsItsOffset, LogFixture)
{
  Append();
  AwaitRequest(1);
  BOOST_TEST(requests_[0].method_ == "POST");
  BOOST_TEST(requests_[0].target_ == "/v1/streams/roster/records");
  BOOST_TEST(requests_[0].body_ == "{\"a\":1}");
  Answer(201, R"({"offset":12})");
  BOOST_TEST((AwaitAppend() == gpErrorCode::None));
  BOOST_TEST(appended_->value().value_ == 12U);
}

BOOST_FIXTURE_TEST_CASE(AnAppendWithoutAnAnswerIsNotRepeated, LogFixture)
{
  Append();
  AwaitRequest(1);
  server_->Abort(ids_[0]);
  BOOST_TEST((AwaitAppend() == gpErrorCode::LogUnavailable));
  BOOST_TEST(ids_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ARefusedAppendHasItsOwnError, LogFixture)
{
  server_.reset();
  Append();
  BOOST_TEST((AwaitAppend() == gpErrorCode::ConnectRefused));
}

BOOST_FIXTURE_TEST_CASE(AnAppendToABusyServiceFails, LogFixture)
{
  Append();
  AwaitRequest(1);
  Answer(503, "");
  BOOST_TEST((AwaitAppend() == gpErrorCode::LogUnavailable));
}

BOOST_FIXTURE_TEST_CASE(AReadGetsItsRecords, LogFixture)
{
  Read();
  AwaitRequest(1);
  BOOST_TEST(requests_[0].target_ ==
             "/v1/streams/roster/records?from=3&wait_ms=60000&max=1000");
  Answer(200, kOneRecord);
  BOOST_TEST((AwaitRead() == gpErrorCode::None));
  BOOST_TEST(read_->value().earliest_.value_ == 0U);
  BOOST_TEST(read_->value().next_.value_ == 5U);
  BOOST_TEST(read_->value().records_.at(0).offset_.value_ == 4U);
  BOOST_TEST(read_->value().records_.at(0).data_ == "x");
}

BOOST_FIXTURE_TEST_CASE(InvalidResponsesAreBadRecords, LogFixture)
{
  const std::vector<std::string> answers = {
    "",
    "[]",
    R"({"earliest":0,"next":3})",
    R"({"earliest":-1,"next":3,"records":[]})",
    R"({"earliest":4,"next":3,"records":[]})",
    R"({"earliest":0,"next":3,"records":[{"offset":3,"data":"x"}]})",
    R"({"earliest":2,"next":3,"records":[{"offset":1,"data":"x"}]})",
    kTwice,
    R"({"earliest":0,"next":3,"records":[{"offset":1,"data":2}]})",
  };
  for (const std::string& answer : answers) {
    Read();
    AwaitRequest(ids_.size() + 1);
    Answer(200, answer);
    BOOST_TEST((AwaitRead() == gpErrorCode::BadRecord), answer);
  }
}

BOOST_FIXTURE_TEST_CASE(FollowContinuesAfterTheLastRecord, LogFixture)
{
  Follow();
  AwaitRequest(1);
  BOOST_TEST(requests_[0].target_.find("?from=3&wait_ms=0&") !=
             std::string::npos);
  Answer(200, kEmpty);
  AwaitRequest(2);
  BOOST_TEST(batches_.size() == 1U);
  BOOST_TEST(requests_[1].target_.find("?from=3&wait_ms=5000&") !=
             std::string::npos);
  Answer(200, kEmpty);
  AwaitRequest(3);
  BOOST_TEST(batches_.size() == 1U);
  Answer(200, kOneRecord);
  AwaitRequest(4);
  BOOST_TEST(batches_.size() == 2U);
  BOOST_TEST(requests_[3].target_.find("?from=5&wait_ms=5000&") !=
             std::string::npos);
  BOOST_TEST((health_ == std::vector{ gpErrorCode::None }));
}

BOOST_FIXTURE_TEST_CASE(FollowReportsChangesOfHealthOnce, LogFixture)
{
  Follow();
  AwaitRequest(1);
  Answer(200, kEmpty);
  AwaitRequest(2);
  Answer(503, "");
  AwaitRequest(3);
  server_.reset();
  gpRunUntil(loop_, [&] { return health_.size() == 2U; });
  Listen(address_);
  AwaitRequest(4);
  BOOST_TEST(requests_[3].target_.find("?from=3&wait_ms=0&") !=
             std::string::npos);
  Answer(200, "no log");
  AwaitRequest(5);
  Answer(200, kOneRecord);
  AwaitRequest(6);
  const std::vector expected = { gpErrorCode::None,
                                 gpErrorCode::LogUnavailable,
                                 gpErrorCode::None };
  BOOST_TEST((health_ == expected));
  BOOST_TEST(batches_.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ADestroyedClientCallsNoHandler, LogFixture)
{
  Follow();
  Read();
  AwaitRequest(2);
  log_.reset();
  for (const gpRequestId id : ids_) {
    gpHttpResponse response;
    response.body_ = kOneRecord;
    server_->Respond(id, response);
  }
  gpLogClient other(loop_, timers_, http_, address_);
  bool answered = false;
  other.Read(
    "roster", gpLogOffset(0), kLong, [&](const auto&) { answered = true; });
  AwaitRequest(3);
  Answer(200, kEmpty);
  gpRunUntil(loop_, [&] { return answered; });
  BOOST_TEST(batches_.empty());
  BOOST_TEST(!read_.has_value());
}

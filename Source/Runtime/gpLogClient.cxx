#include "gpLogClient.h"

#include <set>
#include <utility>

#include "gpError.h"
#include "gpHttpClient.h"
#include "gpLogFollower.h"
#include "gpLogMessages.h"

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
/// Largest number of records that one read requests.
constexpr int kMaxBatchRecords = 1000;
/// How long the client waits for the response to a read, beyond the time that
/// it asks the service to wait for a record.
constexpr gpMillis kResponseTimeout{ 2000 };

std::string
RecordsPath(const std::string& aStream)
{
  return "/v1/streams/" + aStream + "/records";
}

/// The error of a call, if it failed or its response has another status than
/// the expected one; else ok.
absl::Status
ToCallError(const gpHttpReply& aReply, int aExpectedStatus)
{
  const absl::Status& status = aReply.response_.status();
  if (gpErrorCodeOf(status) == gpErrorCode::ConnectRefused) {
    return status;
  }
  if (!status.ok()) {
    return gpMakeError(gpErrorCode::LogUnavailable,
                       std::string(gpErrorName(gpErrorCodeOf(status))) + ": " +
                         gpErrorText(status));
  }
  if (aReply.response_->status_ != aExpectedStatus) {
    return gpMakeError(gpErrorCode::LogUnavailable,
                       "unexpected HTTP status " +
                         std::to_string(aReply.response_->status_));
  }
  return absl::OkStatus();
}

} // namespace

struct gpLogClient::Impl : std::enable_shared_from_this<Impl>
{
  Impl(gpTimerService& aTimers, gpHttpClient& aHttp, gpAddress aService)
    : timers_(aTimers)
    , http_(aHttp)
    , service_(std::move(aService))
  {
  }

  void Call(gpHttpRequest aRequest,
            gpMillis aTimeout,
            gpHttpClient::Handler aHandler);
  void Read(const std::string& aStream,
            gpLogOffset aFrom,
            gpMillis aWait,
            gpLogFollower::ReadHandler aHandler);
  void Stop();

  gpTimerService& timers_;
  gpHttpClient& http_;
  gpAddress service_;
  std::set<gpCallId> calls_;
  std::vector<std::shared_ptr<gpLogFollower>> followers_;
};

void
gpLogClient::Impl::Call(gpHttpRequest aRequest,
                        gpMillis aTimeout,
                        gpHttpClient::Handler aHandler)
{
  const auto id = std::make_shared<gpCallId>();
  *id = http_.Call(service_,
                   std::move(aRequest),
                   aTimeout,
                   [self = weak_from_this(), id, handler = std::move(aHandler)](
                     gpHttpReply aReply) {
                     if (const auto client = self.lock()) {
                       client->calls_.erase(*id);
                       handler(std::move(aReply));
                     }
                   });
  calls_.insert(*id);
}

void
gpLogClient::Impl::Read(const std::string& aStream,
                        gpLogOffset aFrom,
                        gpMillis aWait,
                        gpLogFollower::ReadHandler aHandler)
{
  gpHttpRequest request;
  request.target_ = RecordsPath(aStream) +
                    "?from=" + std::to_string(aFrom.value_) +
                    "&wait_ms=" + std::to_string(aWait.count()) +
                    "&max=" + std::to_string(kMaxBatchRecords);
  Call(std::move(request),
       aWait + kResponseTimeout,
       [handler = std::move(aHandler)](const gpHttpReply& aReply) {
         const absl::Status error = ToCallError(aReply, kOk);
         if (error.ok()) {
           handler(gpParseReadAnswer(aReply.response_->body_));
         } else {
           handler(error);
         }
       });
}

void
gpLogClient::Impl::Stop()
{
  for (const auto& follower : followers_) {
    follower->Stop();
  }
  for (const gpCallId call : calls_) {
    http_.Cancel(call);
  }
  calls_.clear();
}

gpLogClient::gpLogClient(gpEventLoop& /*aLoop*/,
                         gpTimerService& aTimers,
                         gpHttpClient& aHttp,
                         gpAddress aService)
  : impl_(std::make_shared<Impl>(aTimers, aHttp, std::move(aService)))
{
}

gpLogClient::~gpLogClient()
{
  impl_->Stop();
}

void
gpLogClient::Append(const std::string& aStream,
                    std::string aData,
                    gpMillis aTimeout,
                    std::function<void(absl::StatusOr<gpLogOffset>)> aHandler)
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = RecordsPath(aStream);
  request.body_ = std::move(aData);
  impl_->Call(std::move(request),
              aTimeout,
              [handler = std::move(aHandler)](const gpHttpReply& aReply) {
                const absl::Status error = ToCallError(aReply, kCreated);
                if (error.ok()) {
                  handler(gpParseAppendAnswer(aReply.response_->body_));
                } else {
                  handler(error);
                }
              });
}

void
gpLogClient::Read(const std::string& aStream,
                  gpLogOffset aFrom,
                  gpMillis aWait,
                  std::function<void(absl::StatusOr<gpLogBatch>)> aHandler)
{
  impl_->Read(aStream, aFrom, aWait, std::move(aHandler));
}

void
gpLogClient::Follow(const std::string& aStream,
                    gpLogOffset aFrom,
                    std::function<void(const gpLogBatch&)> aBatch,
                    std::function<void(const absl::Status&)> aHealth,
                    std::function<void()> aContact)
{
  gpLogFollower::Handlers handlers;
  handlers.read_ = [self = impl_->weak_from_this(),
                    aStream](gpLogOffset aOffset,
                             gpMillis aWait,
                             gpLogFollower::ReadHandler aHandler) {
    if (const auto client = self.lock()) {
      client->Read(aStream, aOffset, aWait, std::move(aHandler));
    }
  };
  handlers.batch_ = std::move(aBatch);
  handlers.health_ = std::move(aHealth);
  handlers.contact_ = std::move(aContact);
  impl_->followers_.push_back(std::make_shared<gpLogFollower>(
    impl_->timers_, aFrom, std::move(handlers)));
  impl_->followers_.back()->Read();
}

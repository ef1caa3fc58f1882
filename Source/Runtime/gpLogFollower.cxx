#include "gpLogFollower.h"

#include <algorithm>
#include <utility>

#include "gpEventLoop.h"
#include "gpTimerService.h"

namespace {

/// How long the service waits for a new record before it responds.
constexpr gpMillis kLongPoll{ 5000 };
/// The first read, and those after a failure, do not wait for a record, so that
/// the state of the service is known soon.
constexpr gpMillis kNoWait{ 0 };
constexpr gpMillis kMinRetryDelay{ 200 };
constexpr gpMillis kMaxRetryDelay{ 2000 };
constexpr int kRetryDelayFactor = 2;

} // namespace

gpLogFollower::gpLogFollower(gpTimerService& aTimers,
                             gpLogOffset aFrom,
                             Handlers aHandlers)
  : timers_(aTimers)
  , next_(aFrom)
  , handlers_(std::move(aHandlers))
  , retryDelay_(kMinRetryDelay)
{
}

gpLogFollower::~gpLogFollower() = default;

void
gpLogFollower::Read()
{
  const bool isHealthy = isHealthy_.value_or(false);
  handlers_.read_(
    next_,
    isHealthy ? kLongPoll : kNoWait,
    [self = weak_from_this()](const absl::StatusOr<gpLogBatch>& aBatch) {
      if (const auto follower = self.lock()) {
        follower->OnRead(aBatch);
      }
    });
}

void
gpLogFollower::Stop()
{
  stopped_ = true;
  timers_.Cancel(timer_);
}

void
gpLogFollower::OnRead(const absl::StatusOr<gpLogBatch>& aBatch)
{
  if (stopped_) {
    return;
  }
  ReportHealth(aBatch.status());
  if (stopped_) {
    return;
  }
  if (aBatch.ok()) {
    OnBatch(*aBatch);
  } else {
    ReadAfterDelay();
  }
}

void
gpLogFollower::ReadAfterDelay()
{
  timer_ = timers_.Subscribe(gpEventLoop::Now() + retryDelay_,
                             [self = weak_from_this()] {
                               if (const auto follower = self.lock()) {
                                 follower->Read();
                               }
                             });
  retryDelay_ = std::min(retryDelay_ * kRetryDelayFactor, kMaxRetryDelay);
}

void
gpLogFollower::OnBatch(const gpLogBatch& aBatch)
{
  retryDelay_ = kMinRetryDelay;
  if (handlers_.contact_) {
    handlers_.contact_();
  }
  if (!aBatch.records_.empty()) {
    next_.value_ = aBatch.records_.back().offset_.value_ + 1;
  }
  if (!aBatch.records_.empty() || !hadBatch_) {
    hadBatch_ = true;
    handlers_.batch_(aBatch);
  }
  if (!stopped_) {
    Read();
  }
}

void
gpLogFollower::ReportHealth(const absl::Status& aStatus)
{
  if (isHealthy_ != aStatus.ok()) {
    isHealthy_ = aStatus.ok();
    handlers_.health_(aStatus);
  }
}

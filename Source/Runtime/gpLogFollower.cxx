#include "gpLogFollower.h"

#include <algorithm>
#include <utility>

#include "gpEventLoop.h"
#include "gpTimerService.h"

namespace {

constexpr gpMillis kLongPoll{ 5000 };
/// The first read, and the first after a failure, tells the state at once.
constexpr gpMillis kNoWait{ 0 };
constexpr gpMillis kFirstPause{ 200 };
constexpr gpMillis kLongestPause{ 2000 };
constexpr int kPauseGrowth = 2;

} // namespace

gpLogFollower::gpLogFollower(gpTimerService& aTimers,
                             gpLogOffset aFrom,
                             Handlers aHandlers)
  : timers_(aTimers)
  , next_(aFrom)
  , handlers_(std::move(aHandlers))
  , pause_(kFirstPause)
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
    PauseAndRead();
  }
}

void
gpLogFollower::PauseAndRead()
{
  timer_ =
    timers_.Subscribe(gpEventLoop::Now() + pause_, [self = weak_from_this()] {
      if (const auto follower = self.lock()) {
        follower->Read();
      }
    });
  pause_ = std::min(pause_ * kPauseGrowth, kLongestPause);
}

void
gpLogFollower::OnBatch(const gpLogBatch& aBatch)
{
  pause_ = kFirstPause;
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

#include "gpStoreFollower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gpError.h"
#include "gpEventLoop.h"

namespace {

/// How long one read waits for a record. Short, since a connection may fall
/// silent without notice, and changes must be in force within two seconds.
constexpr gpMillis kReadWait{ 1000 };
constexpr gpMillis kFirstPause{ 50 };
/// The store is noticed within this time after its return.
constexpr gpMillis kLongestPause{ 800 };
constexpr int kMostDoublings = 4;

/// Half to all of the pause, so that processes don't call in step.
gpMillis
Jittered(gpMillis aPause)
{
  static std::minstd_rand generator{ std::random_device{}() };
  std::uniform_int_distribution<std::int64_t> pick(aPause.count() / 2,
                                                   aPause.count());
  return gpMillis(pick(generator));
}

} // namespace

gpStoreFollower::gpStoreFollower(gpTimerService& aTimers,
                                 gpStorePort& aStore,
                                 gpStoreTopic aTopic,
                                 Handlers aHandlers)
  : timers_(aTimers)
  , store_(aStore)
  , topic_(aTopic)
  , handlers_(std::move(aHandlers))
{
}

void
gpStoreFollower::ReadNewest()
{
  hasNewest_ = false;
  store_.ReadNewest(topic_, [this](const absl::StatusOr<gpStorePage>& aPage) {
    OnPage(aPage);
  });
}

void
gpStoreFollower::ReadOn()
{
  store_.ReadFrom(
    topic_, next_, kReadWait, [this](const absl::StatusOr<gpStorePage>& aPage) {
      OnPage(aPage);
    });
}

void
gpStoreFollower::OnPage(const absl::StatusOr<gpStorePage>& aPage)
{
  if (!aPage.ok()) {
    RetryLater(aPage.status());
    return;
  }
  failures_ = 0;
  hasNewest_ = true;
  const bool wasCurrent = std::exchange(isCurrent_, true);
  if (!std::exchange(wasTold_, true) || !wasCurrent) {
    handlers_.health_(absl::OkStatus());
  }
  next_ = aPage->next_;
  for (const gpStoreRecord& record : aPage->records_) {
    handlers_.record_(record);
  }
  ReadOn();
}

void
gpStoreFollower::RetryLater(const absl::Status& aStatus)
{
  if (gpErrorCodeOf(aStatus) == gpErrorCode::NotFound) {
    // Records were deleted before they were read; the newest ones are kept.
    ReadNewest();
    return;
  }
  const bool wasCurrent = std::exchange(isCurrent_, false);
  if (!std::exchange(wasTold_, true) || wasCurrent) {
    handlers_.health_(aStatus);
  }
  const int doublings = std::min(failures_++, kMostDoublings);
  const gpMillis pause =
    std::min(kFirstPause * (1 << doublings), kLongestPause);
  timers_.Subscribe(gpEventLoop::Now() + Jittered(pause), [this] {
    if (hasNewest_) {
      ReadOn();
    } else {
      ReadNewest();
    }
  });
}

#include "gpStoreFollower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gpError.h"
#include "gpEventLoop.h"

namespace {

/// How long one read waits for a record. A connection may be lost without an
/// error, and changes must be in force within two seconds, so it's short.
constexpr gpMillis kReadWait{ 1000 };
constexpr gpMillis kFirstPause{ 50 };
/// Longest pause between retries, so that the store is used again within this
/// time after it has become available.
constexpr gpMillis kMaxPause{ 800 };
constexpr int kMaxDoublings = 4;

/// A random time from half to all of the pause, so that processes don't retry
/// at the same time.
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
gpStoreFollower::ReadNext()
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
  const bool wasReachable = std::exchange(isReachable_, true);
  if (!std::exchange(isHealthReported_, true) || !wasReachable) {
    handlers_.health_(absl::OkStatus());
  }
  next_ = aPage->next_;
  for (const gpStoreRecord& record : aPage->records_) {
    handlers_.record_(record);
  }
  for (const absl::Status& fault : aPage->faults_) {
    handlers_.badRecord_(fault);
  }
  ReadNext();
}

void
gpStoreFollower::RetryLater(const absl::Status& aStatus)
{
  if (gpErrorCodeOf(aStatus) == gpErrorCode::NotFound) {
    // Records were deleted before they were read. The store always retains the
    // newest record of each key, so these are read instead.
    ReadNewest();
    return;
  }
  const bool wasReachable = std::exchange(isReachable_, false);
  if (!std::exchange(isHealthReported_, true) || wasReachable) {
    handlers_.health_(aStatus);
  }
  const int doublings = std::min(failures_++, kMaxDoublings);
  const gpMillis pause = std::min(kFirstPause * (1 << doublings), kMaxPause);
  timers_.Subscribe(gpEventLoop::Now() + Jittered(pause), [this] {
    if (hasNewest_) {
      ReadNext();
    } else {
      ReadNewest();
    }
  });
}

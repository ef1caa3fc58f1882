#include "gpLinkFlush.h"

#include <algorithm>
#include <iterator>
#include <utility>

void
gpLinkFlush::Add(Targets aTargets, std::function<void()> aHandler)
{
  waiters_.push_back(Waiter{ std::move(aTargets), std::move(aHandler) });
  CallReady();
}

void
gpLinkFlush::OnWritten(gpLinkId aLink, std::uint64_t aWrittenBytes)
{
  for (Waiter& waiter : waiters_) {
    const auto target = waiter.targets_.find(aLink);
    if (target != waiter.targets_.end() && target->second <= aWrittenBytes) {
      waiter.targets_.erase(target);
    }
  }
  CallReady();
}

void
gpLinkFlush::OnClosed(gpLinkId aLink)
{
  for (Waiter& waiter : waiters_) {
    waiter.targets_.erase(aLink);
  }
  CallReady();
}

void
gpLinkFlush::CallReady()
{
  const auto firstReady = std::stable_partition(
    waiters_.begin(), waiters_.end(), [](const Waiter& aWaiter) {
      return !aWaiter.targets_.empty();
    });
  const std::vector<Waiter> ready(std::make_move_iterator(firstReady),
                                  std::make_move_iterator(waiters_.end()));
  waiters_.erase(firstReady, waiters_.end());
  for (const Waiter& waiter : ready) {
    waiter.handler_();
  }
}

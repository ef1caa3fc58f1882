#include "gpTimerService.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "gpEventLoop.h"
#include "gpEventLoopContext.h"

namespace {

/// Limits one wait of the Asio timer, whose clock counts nanoseconds: a wait
/// until a time in the far future would overflow it.
constexpr std::chrono::hours kMaxWait{ 1 };

/// Orders subscriptions by time, and those of the same time by their creation.
using TimerKey = std::pair<gpTime, gpTimerId>;

/// All subscriptions in order, and one Asio timer that waits for the earliest.
class TimerQueue : public std::enable_shared_from_this<TimerQueue>
{
public:
  explicit TimerQueue(boost::asio::io_context& aIo)
    : timer_(aIo)
  {
  }

  gpTimerId Add(gpTime aWhen, std::function<void()> aHandler)
  {
    const gpTimerId timer(++lastTimer_);
    queue_.emplace(TimerKey(aWhen, timer), std::move(aHandler));
    times_.emplace(timer, aWhen);
    Arm();
    return timer;
  }

  void Remove(gpTimerId aTimer)
  {
    const auto found = times_.find(aTimer);
    if (found == times_.end()) {
      return;
    }
    queue_.erase(TimerKey(found->second, aTimer));
    times_.erase(found);
  }

private:
  /// Ensures that the Asio timer fires at the earliest time of the queue. If
  /// the subscription that it was armed for is removed, the timer fires early,
  /// finds nothing due and is armed again.
  void Arm()
  {
    if (queue_.empty()) {
      return;
    }
    const gpTime now = gpEventLoop::Now();
    const gpTime first =
      std::min(queue_.begin()->first.first, gpTime(now + gpMicros(kMaxWait)));
    if (armed_ && armedFor_ <= first) {
      return;
    }
    armed_ = true;
    armedFor_ = first;
    // A relative wait: Asio's clock stops while the machine is suspended,
    // unlike gpEventLoop::Now, so absolute times of the two differ.
    timer_.expires_after(first - now);
    timer_.async_wait([weak = weak_from_this(), first](const auto& aError) {
      const auto self = weak.lock();
      if (self && !aError) {
        self->Fire(first);
      }
    });
  }

  void Fire(gpTime aArmedFor)
  {
    if (!armed_ || armedFor_ != aArmedFor) {
      return; // armed for an earlier time since this wait began
    }
    armed_ = false;
    for (const TimerKey& key : ListDue()) {
      auto node = queue_.extract(key);
      if (node.empty()) {
        continue; // removed by a handler that ran before it
      }
      times_.erase(key.second);
      node.mapped()();
    }
    Arm();
  }

  std::vector<TimerKey> ListDue() const
  {
    const gpTime now = gpEventLoop::Now();
    std::vector<TimerKey> due;
    for (const auto& [key, handler] : queue_) {
      if (key.first > now) {
        break;
      }
      due.push_back(key);
    }
    return due;
  }

  boost::asio::steady_timer timer_;
  std::map<TimerKey, std::function<void()>> queue_;
  std::unordered_map<gpTimerId, gpTime> times_;
  std::uint64_t lastTimer_ = 0;
  bool armed_ = false;
  gpTime armedFor_;
};

} // namespace

struct gpTimerService::Impl
{
  std::shared_ptr<TimerQueue> queue_;
};

gpTimerService::gpTimerService(gpEventLoop& aLoop)
  : impl_(std::make_unique<Impl>(
      Impl{ std::make_shared<TimerQueue>(aLoop.GetContext().io_) }))
{
}

gpTimerService::~gpTimerService() = default;

gpTimerId
gpTimerService::Subscribe(gpTime aWhen, std::function<void()> aHandler)
{
  return impl_->queue_->Add(aWhen, std::move(aHandler));
}

void
gpTimerService::Cancel(gpTimerId aTimer)
{
  impl_->queue_->Remove(aTimer);
}

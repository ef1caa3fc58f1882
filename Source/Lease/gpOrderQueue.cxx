#include "gpOrderQueue.h"

#include <algorithm>
#include <utility>

namespace {

/// Longest time that a run waits at a guard; some tasks end within it.
constexpr gpMillis kPatience{ 40 };
/// Runs that wait at one guard; as many end within the patience.
constexpr std::size_t kMostOrders = 4;

} // namespace

bool
gpOrderQueue::Add(gpQueuedOrder aOrder)
{
  if (orders_.size() >= kMostOrders) {
    return false;
  }
  orders_.push_back(std::move(aOrder));
  return true;
}

std::optional<gpQueuedOrder>
gpOrderQueue::TakeNext(const gpResources& aFree)
{
  if (orders_.empty() || !aFree.Covers(orders_.front().needs_)) {
    return std::nullopt;
  }
  gpQueuedOrder order = std::move(orders_.front());
  orders_.pop_front();
  return order;
}

std::vector<gpQueuedOrder>
gpOrderQueue::TakeExpired(gpTime aNow)
{
  std::vector<gpQueuedOrder> expired;
  while (!orders_.empty() && GetExpiry() <= aNow) {
    expired.push_back(std::move(orders_.front()));
    orders_.pop_front();
  }
  return expired;
}

bool
gpOrderQueue::Remove(gpLinkId aLink, const gpRunId& aRun)
{
  return std::erase_if(orders_, [&](const gpQueuedOrder& aOrder) {
           return aOrder.link_ == aLink && aOrder.run_ == aRun;
         }) > 0;
}

void
gpOrderQueue::RemoveOf(gpLinkId aLink)
{
  std::erase_if(orders_, [&](const gpQueuedOrder& aOrder) {
    return aOrder.link_ == aLink;
  });
}

std::vector<gpQueuedOrder>
gpOrderQueue::TakeAll()
{
  std::vector<gpQueuedOrder> all(std::make_move_iterator(orders_.begin()),
                                 std::make_move_iterator(orders_.end()));
  orders_.clear();
  return all;
}

gpResources
gpOrderQueue::GetNeeds() const
{
  gpResources needs;
  for (const gpQueuedOrder& order : orders_) {
    needs.Add(order.needs_);
  }
  return needs;
}

gpTime
gpOrderQueue::GetExpiry() const
{
  return orders_.front().arrivedAt_ + kPatience;
}

#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"
#include "gpRunMessages.h"
#include "gpTime.h"

/** \class gpQueuedOrder
 * \brief One run that waits at a guard for room.
 */
struct gpQueuedOrder
{
  gpLinkId link_;
  gpRunId run_;
  std::string spec_;
  gpResources needs_;
  gpTime arrivedAt_;
};

/** \class gpOrderQueue
 * \brief Runs that wait at a guard for room, for a short time.
 *
 * Pattern: bounded queue before an admission gate. Entries learn of free room a
 * little late, so several order the same room; the ones that come second wait
 * for the next end instead of going back. A short limit keeps tasks from
 * sticking to a target that has turned slow.
 */
class gpOrderQueue
{
public:
  /// False if too many wait already.
  bool Add(gpQueuedOrder aOrder);
  /// The first order that fits; orders after one that doesn't fit wait behind
  /// it, so that a large task is not passed over for ever.
  std::optional<gpQueuedOrder> TakeNext(const gpResources& aFree);
  /// Orders that have waited too long.
  std::vector<gpQueuedOrder> TakeExpired(gpTime aNow);
  /// Takes an order that is not wanted any more. False if it doesn't wait.
  bool Remove(gpLinkId aLink, const gpRunId& aRun);
  void RemoveOf(gpLinkId aLink);
  std::vector<gpQueuedOrder> TakeAll();

  /// What the waiting runs need together.
  gpResources GetNeeds() const;
  bool IsEmpty() const { return orders_.empty(); }
  /// When the first order expires; only if there is one.
  gpTime GetExpiry() const;

private:
  std::deque<gpQueuedOrder> orders_;
};

#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gpCrashMessages.h"
#include "gpPlacementScope.h"
#include "gpQueueTable.h"
#include "gpTime.h"

/** \class gpQueueContainment
 * \brief Detects queues whose tasks crash targets, and limits their tasks to a
 * few targets that the tasks of other queues don't use.
 *
 * Pattern: bulkhead. Without it, a queue in which a small part of the tasks
 * crash their targets takes all targets down, even if each of these tasks is
 * started only once.
 *
 * Detection is a sequential test. After a crash, a queue is suspected if one of
 * its tasks started shortly before. That may be chance, and the more likely so,
 * the more often its tasks start; so a crash counts as much as it is unlikely
 * to follow a start by chance. Crashes without a suspected task of the queue
 * count against the suspicion. If several queues are suspected, they share the
 * weight by how likely each is the cause, and a queue that is contained already
 * takes all of it. Crashes at the same time have one cause, such as the power
 * of a rack, and count once.
 */
class gpQueueContainment
{
public:
  /// A guard reported a crash of its target. Returns the queues that are
  /// contained from now on.
  std::vector<gpContainedQueue> NoteCrash(const gpTargetCrash& aCrash,
                                          gpTime aNow);
  /// Contains the queue without a test. Returns true if it's contained from now
  /// on.
  bool Contain(const gpContainedQueue& aQueue, gpTime aNow);
  /// Releases queues whose tasks have crashed no target for some time in which
  /// they could start. aHasTarget tells whether a target of the service is up
  /// that serves contained queues. Returns the released queues.
  std::vector<gpContainedQueue> Release(
    const std::function<bool(const gpServiceName&)>& aHasTarget,
    gpTime aNow);

  std::vector<gpContainedQueue> List() const;
  bool IsInForce() const { return !contained_.empty(); }
  bool IsContained(const gpQueueName& aQueue) const
  {
    return contained_.contains(aQueue);
  }
  /// The targets that tasks of the queue may use.
  gpPlacementScope ScopeOf(const gpQueue& aQueue) const;

private:
  struct Suspicion
  {
    double score_ = 0;
    gpTime updatedAt_;
  };
  struct Containment
  {
    gpServiceName service_;
    /// Time without a suspected crash in which tasks could start.
    gpMicros clean_{ 0 };
    gpTime updatedAt_;
  };

  /// Lets the suspicion decay, and returns it.
  Suspicion& Update(const gpQueueName& aQueue, gpTime aNow);
  /// Adds the crash to the suspicions against the queues.
  void Weigh(const gpTargetCrash& aCrash, gpTime aNow);
  /// Whether a task of a contained queue is suspected of the crash, which
  /// explains it. Restarts the time until the queue is released.
  bool IsExplained(const std::set<gpQueueName>& aSuspected);

  std::map<gpQueueName, Suspicion> suspicions_;
  std::map<gpQueueName, Containment> contained_;
  /// The last crash that was weighed.
  gpTime weighedAt_;
};

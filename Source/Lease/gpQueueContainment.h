#pragma once

#include <functional>
#include <map>
#include <vector>

#include "gpCrashMessages.h"
#include "gpCrashPatterns.h"
#include "gpPlacementScope.h"
#include "gpQueueTable.h"
#include "gpTime.h"

/** \class gpQueueContainment
 * \brief Limits the tasks of queues whose tasks crash targets to a few targets
 * that the tasks of other queues don't use.
 *
 * Pattern: bulkhead. Without it, a queue in which a small part of the tasks
 * crash their targets takes all targets down, even if each of these tasks is
 * started only once.
 *
 * Crashes that a contained queue explains don't count in the search for others.
 * Crashes at the same time have one cause, such as the power of a rack, and
 * count once.
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
  /// Whether the queue is contained as its tasks crash targets right after
  /// their start.
  bool CrashesAtStart(const gpQueueName& aQueue) const;
  /// Whether a contained queue explains that the run was lost in a crash.
  bool Explains(const gpLostRun& aRun) const;
  /// The targets that tasks of the queue may use.
  gpPlacementScope ScopeOf(const gpQueue& aQueue) const;

private:
  struct Containment
  {
    gpServiceName service_;
    /// See gpCrashPattern::age_.
    gpMillis crashAge_{ 0 };
    /// Time without a crash that the queue explains, in which tasks could
    /// start.
    gpMicros clean_{ 0 };
    gpTime updatedAt_;
  };

  /// Whether a contained queue explains the crash. Restarts the time until the
  /// queue is released.
  bool Explain(const gpTargetCrash& aCrash);

  gpCrashPatterns patterns_;
  std::map<gpQueueName, Containment> contained_;
  /// The last crash that was weighed.
  gpTime weighedAt_;
};

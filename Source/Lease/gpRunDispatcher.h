#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "gpCrashLedger.h"
#include "gpLeaseAdmission.h"
#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpRunOrders.h"
#include "gpTargetTable.h"

/** \class gpRunDispatcher
 * \brief Sends an entry's waiting tasks to targets with free capacity, and
 * cancels runs.
 *
 * Pattern: incremental matching. A task waits because no target had enough free
 * capacity for it. So an event requires only the pairs of task and target to be
 * checked that it may have changed: a new job's tasks with all targets, or all
 * waiting tasks with the one target that has more free capacity. Changes by
 * time alone are covered by a periodic check of all pairs. So the cost of an
 * event doesn't grow when capacity is short.
 */
class gpRunDispatcher
{
public:
  gpRunDispatcher(gpLeaseJobTable& aJobs,
                  gpTargetTable& aTargetTable,
                  const gpCrashLedger& aCrashes,
                  const gpQueueContainment& aContainment,
                  std::uint64_t aFirstRun)
    : jobs_(aJobs)
    , targetTable_(aTargetTable)
    , crashes_(aCrashes)
    , containment_(aContainment)
    , orders_(aFirstRun)
  {
  }

  /// Places waiting tasks at any target with enough free capacity.
  void Dispatch(gpTime aNow, gpLeaseEffects& aOut);
  /// Places the waiting tasks of one job.
  void DispatchJob(gpLeaseRecord& aJob, gpTime aNow, gpLeaseEffects& aOut);
  /// Logs why the job's first waiting task has no target, if there is one.
  void LogWait(const gpLeaseRecord& aJob, gpTime aNow, gpLeaseEffects& aOut);
  /// Places waiting tasks at one target.
  void DispatchAt(gpIncarnation aGuard, gpTime aNow, gpLeaseEffects& aOut);
  /// Sends the orders that were collected since the last call.
  void Flush(gpLeaseEffects& aOut) { orders_.Flush(aOut); }
  /// Skips run numbers: a target has refused one because it has seen a higher
  /// one.
  void SkipAhead() { orders_.SkipAhead(); }
  /// Cancels all runs of a job.
  void StopRuns(const gpLeaseRecord& aJob, gpLeaseEffects& aOut);
  /// Cancels a straggler, so that its task can be placed elsewhere.
  void StopStraggler(gpLeaseRecord& aJob,
                     std::size_t aTask,
                     gpLeaseEffects& aOut);

private:
  /// Chooses the guard for a task; not set if the task has to wait.
  using Placement =
    std::function<std::optional<gpIncarnation>(const gpPlacementNeed& aNeed)>;

  /// Places waiting tasks in their order. Stops for tasks of a speed class
  /// (needing a fast target or not), contained queues apart, after kMostMisses
  /// of them found no target.
  void DispatchWaiting(const Placement& aPlace,
                       gpTime aNow,
                       gpLeaseEffects& aOut);
  gpPlacementNeed NeedOf(const gpLeaseRecord& aJob,
                         std::size_t aTask,
                         gpTime aNow) const;
  gpPlacementScope ScopeOf(const gpLeaseRecord& aJob,
                           const gpLeaseTask& aTask) const;
  /// Orders a run of the task, whose requirements are aNeed.
  void SendRun(gpLeaseRecord& aJob,
               std::size_t aTask,
               const gpPlacementNeed& aNeed,
               gpIncarnation aGuard,
               gpTime aNow,
               gpLeaseEffects& aOut);

  gpLeaseJobTable& jobs_;
  gpTargetTable& targetTable_;
  const gpCrashLedger& crashes_;
  const gpQueueContainment& containment_;
  gpRunOrders orders_;
};

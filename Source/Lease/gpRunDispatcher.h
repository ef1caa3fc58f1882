#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "gpLeaseAdmission.h"
#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpRunOrders.h"
#include "gpTargetBoard.h"

/** \class gpRunDispatcher
 * \brief Sends an entry's waiting tasks to targets with room, and takes runs
 * back.
 *
 * Pattern: incremental matching. Tasks wait because no target had room for
 * them, so an event makes only those pairs of task and target worth a look that
 * it has changed: a new job's tasks at all targets, or the waiting tasks at the
 * one target that has more room. What changes with time alone is looked at
 * with all pairs, now and then. So an event costs no more when room is short.
 */
class gpRunDispatcher
{
public:
  /// Run numbers begin above aFirstRun.
  gpRunDispatcher(gpLeaseJobTable& aJobs,
                  gpTargetBoard& aBoard,
                  std::uint64_t aFirstRun)
    : jobs_(aJobs)
    , board_(aBoard)
    , orders_(aFirstRun)
  {
  }

  /// Orders runs of the waiting tasks for which there is room at any target.
  void Dispatch(gpTime aNow, gpLeaseEffects& aOut);
  /// The same for the tasks of one job.
  void DispatchJob(gpLeaseRecord& aJob, gpTime aNow, gpLeaseEffects& aOut);
  /// The same for the room at one target.
  void DispatchAt(gpIncarnation aGuard, gpTime aNow, gpLeaseEffects& aOut);
  /// Sends the orders that Dispatch collected.
  void Flush(gpLeaseEffects& aOut) { orders_.Flush(aOut); }
  /// A target has seen a higher run number than it was sent.
  void SkipAhead() { orders_.SkipAhead(); }
  /// Stops all runs of a job.
  void StopRuns(const gpLeaseRecord& aJob, gpLeaseEffects& aOut);
  /// Stops a run that is far too late, to place its task elsewhere.
  void Recall(gpLeaseRecord& aJob, std::size_t aTask, gpLeaseEffects& aOut);

private:
  /// Finds a target for a task; not set if it has to wait.
  using Placement =
    std::function<std::optional<gpIncarnation>(const gpPlacementNeed& aNeed)>;

  /// Places waiting tasks in their order, until several couldn't be placed.
  void DispatchWaiting(const Placement& aPlace,
                       gpTime aNow,
                       gpLeaseEffects& aOut);
  static gpPlacementNeed NeedOf(const gpLeaseRecord& aJob,
                                std::size_t aTask,
                                gpTime aNow);
  void SendRun(gpLeaseRecord& aJob,
               std::size_t aTask,
               gpIncarnation aGuard,
               gpTime aNow,
               gpLeaseEffects& aOut);

  gpLeaseJobTable& jobs_;
  gpTargetBoard& board_;
  gpRunOrders orders_;
};

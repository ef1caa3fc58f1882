#pragma once

#include <cstddef>

#include "gpLeaseAdmission.h"
#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpRunOrders.h"
#include "gpTargetBoard.h"

/** \class gpRunDispatcher
 * \brief Sends an entry's waiting tasks to targets with room, and takes runs
 * back.
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

  /// Orders runs of the waiting tasks for which there is room.
  void Dispatch(gpTime aNow, gpLeaseEffects& aOut);
  /// Sends the orders that Dispatch collected.
  void Flush(gpLeaseEffects& aOut) { orders_.Flush(aOut); }
  /// A target has seen a higher run number than it was sent.
  void SkipAhead() { orders_.SkipAhead(); }
  /// Stops all runs of a job.
  void StopRuns(const gpLeaseRecord& aJob, gpLeaseEffects& aOut);
  /// Stops a run that is far too late, to place its task elsewhere.
  void Recall(gpLeaseRecord& aJob, std::size_t aTask, gpLeaseEffects& aOut);

private:
  void SendRun(gpLeaseRecord& aJob,
               std::size_t aTask,
               gpIncarnation aGuard,
               gpTime aNow,
               gpLeaseEffects& aOut);

  gpLeaseJobTable& jobs_;
  gpTargetBoard& board_;
  gpRunOrders orders_;
};

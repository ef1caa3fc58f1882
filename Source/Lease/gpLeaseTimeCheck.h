#pragma once

#include <cstddef>
#include <vector>

#include "gpLeaseJobTable.h"
#include "gpTime.h"

/// Whether a job continues, or why it must be answered now.
enum class gpLeaseVerdict
{
  GoOn,
  NotStarted, ///< no task was sent in time, so it's refused
  TooLate,    ///< it can't end before its caller's deadline
  TargetLost, ///< likewise, as a run may be running at a lost guard
};

/** \class gpLeaseTimeCheck
 * \brief What is due for one best-effort job at a point in time.
 */
struct gpLeaseTimeCheck
{
  gpLeaseVerdict verdict_ = gpLeaseVerdict::GoOn;
  /// Tasks whose guard was lost so long ago that their runs have ended for
  /// certain. They can be placed again.
  std::vector<std::size_t> endedTasks_;
  /// Tasks whose runs are stragglers: they are to be stopped and placed
  /// elsewhere.
  std::vector<std::size_t> stragglers_;
};

/// Checks the deadlines of a job, the bounds of its lost runs and its
/// stragglers.
gpLeaseTimeCheck
gpCheckLeaseTimes(const gpLeaseRecord& aJob, gpTime aNow);

/// When a run that is sent at aNow counts as a straggler.
gpTime
gpStragglerTime(const gpJobStep& aStep, gpTime aNow);

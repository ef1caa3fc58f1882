#pragma once

#include <cstddef>
#include <vector>

#include "gpLeaseJobTable.h"
#include "gpTime.h"

/// Whether a job is to be given up.
enum class gpLeaseVerdict
{
  GoOn,
  NeverBegun, ///< no task was sent in time; it's refused
  TooLate,    ///< it can't end before its caller's deadline
  TargetLost, ///< likewise, as a run may be at work at a lost guard
};

/** \class gpLeaseOverdue
 * \brief What time asks of one best-effort job.
 */
struct gpLeaseOverdue
{
  gpLeaseVerdict verdict_ = gpLeaseVerdict::GoOn;
  /// Tasks whose runs were lost with their guard and are over by now.
  std::vector<std::size_t> over_;
  /// Tasks whose runs take so long that they are better placed elsewhere.
  std::vector<std::size_t> recalled_;
};

/// Looks at one job's deadlines, lost guards and long runs.
gpLeaseOverdue
gpFindOverdue(const gpLeaseRecord& aJob, gpTime aNow);

/// When a run that is sent now is to be stopped and placed elsewhere.
gpTime
gpRecallTime(const gpJobStep& aStep, gpTime aNow);

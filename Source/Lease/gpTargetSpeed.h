#pragma once

#include <cstdint>

#include "gpTime.h"

/** \class gpTargetSpeed
 * \brief How slow a target is, from the runs that ended there.
 *
 * Pattern: geometric moving average of run time over estimate. The guard
 * measures it, as it sees the runs of all entries; an entry that has just
 * started then knows all speeds from the first reports.
 */
class gpTargetSpeed
{
public:
  /// A task was done in aTime that was expected to take aEstimate on a target
  /// of usual speed.
  void NoteDone(gpMillis aEstimate, gpMicros aTime);
  /// Another incarnation may be another kind of machine.
  void Restart() { *this = gpTargetSpeed(); }
  /// Run time over estimate; 1 while nothing is known, and under 1 on a fast
  /// target.
  double GetSlowness() const { return slowness_; }

private:
  double slowness_ = 1.0;
  /// Runs that the mean is made of.
  std::uint32_t runs_ = 0;
};

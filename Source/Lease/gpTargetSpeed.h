#pragma once

#include <cstdint>

#include "gpTime.h"

/** \class gpTargetSpeed
 * \brief Slowness of a target, measured from the runs that ended there.
 *
 * Pattern: geometric moving average of run time over estimate, with change
 * detection: consecutive runs that are all far off the average in the same
 * direction get a high weight. The guard measures it, as it sees the runs of
 * all entries. So an entry that has just started learns the slowness of each
 * target with the first capacity report.
 */
class gpTargetSpeed
{
public:
  /// A task was done in aTime. aEstimate is its expected run time on a target
  /// of average speed.
  void NoteDone(gpMillis aEstimate, gpMicros aTime);
  /// A run was stopped after aTime, before it was done. Counts only if a run
  /// that ended then would have been slower than expected: otherwise nothing is
  /// known of how long it would have taken.
  void NoteStopped(gpMillis aEstimate, gpMicros aTime);
  /// Forgets what was measured: another incarnation may run on another kind of
  /// machine.
  void Restart() { *this = gpTargetSpeed(); }
  /// Run time over estimate: 1 while nothing is known, below 1 on a fast
  /// target.
  double GetSlowness() const { return slowness_; }

private:
  /// Weight of a run in the average. aDeviation is the logarithm of its ratio
  /// to the average.
  double WeightOf(double aDeviation);

  double slowness_ = 1.0;
  /// Number of runs in the average.
  std::uint32_t runs_ = 0;
  /// Number of consecutive runs that were much slower than the average;
  /// negative if they were much faster.
  int outliers_ = 0;
};

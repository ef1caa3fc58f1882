#pragma once

#include <vector>

#include "gpExperiment.h"
#include "gpLoadPlan.h"
#include "gpPercentiles.h"
#include "gpTime.h"

/// Some jobs of a plan, in the order of arrival.
using gpPlannedJobs = std::vector<const gpPlannedJob*>;

/** \class gpIdealSchedule
 * \brief Lower bounds for the response times of all schedules on a deployment.
 *
 * The bounds hold for every schedule that completes the given jobs, clairvoyant
 * or not, preemptive or not, with or without other jobs, as long as slot speeds
 * are no higher and network delays no shorter than the deployment says. Each
 * includes the round trip from a caller to the target nearest to an entry. They
 * are computed from two relaxations:
 *
 * 1. Each job runs alone on the deployment, and its tasks may be preempted and
 *    migrated. The shortest run time is known in closed form (Horvath, Lam and
 *    Sethi 1977): the maximum of the total work over the total speed and, for
 *    each k, the work of the k longest tasks over the speed of the k fastest
 *    slots.
 * 2. All slots are one processor with their total speed, any share of which one
 *    job can use. The processor can emulate every schedule of the slots with no
 *    job completed later.
 *
 * A percentile of the response times is at most x only if few enough jobs take
 * longer than x. The bound is the smallest x that satisfies this under both
 * relaxations: jobs that take longer than x alone are late in any case, and the
 * processor must complete enough of the others within x of their arrival. These
 * due times have the order of the arrivals, so the least number of late jobs
 * can be computed exactly (Kise, Ibaraki and Mine 1978).
 *
 * The bound of the mean is the larger one of the mean under relaxation 1 and
 * the mean under relaxation 2 with preemptive scheduling by shortest remaining
 * work, which minimizes the mean (Schrage 1968).
 *
 * There need not be one schedule that reaches the bounds of several percentiles
 * at once.
 */
class gpIdealSchedule
{
public:
  explicit gpIdealSchedule(const gpDeployment& aDeployment);

  /// The bound for one job under relaxation 1.
  gpMicros IsolatedBound(const gpPlannedJob& aJob) const;
  /// The bound for a percentile of the response times; 0 without jobs.
  gpMicros PercentileBound(const gpPlannedJobs& aJobs,
                           gpPermille aPermille) const;
  gpMicros MeanBound(const gpPlannedJobs& aJobs) const;
  /// The bounds for all statistics of gpPercentiles.
  gpPercentiles Bounds(const gpPlannedJobs& aJobs) const;

private:
  /// Input of the relaxed schedules for a job, in microseconds.
  struct RelaxedJob;
  std::vector<RelaxedJob> Relax(const gpPlannedJobs& aJobs) const;
  double IsolatedRunMicros(const gpPlannedJob& aJob) const;
  gpMicros Percentile(const std::vector<RelaxedJob>& aJobs,
                      gpPermille aPermille) const;
  gpMicros Mean(const std::vector<RelaxedJob>& aJobs) const;

  /// Element k - 1 is the total speed of the k fastest slots.
  std::vector<double> fastestSlots_;
  /// Network delay from a caller to the nearest target and back.
  gpMicros roundTrip_{ 0 };
};

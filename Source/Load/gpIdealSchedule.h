#pragma once

#include <vector>

#include "gpExperiment.h"
#include "gpLoadPlan.h"
#include "gpPercentiles.h"
#include "gpTime.h"

/// A choice of a plan's jobs, in the order of their arrival.
using gpPlannedJobs = std::vector<const gpPlannedJob*>;

/** \class gpIdealSchedule
 * \brief Response times that no schedule on a deployment's slots can beat.
 *
 * The bounds hold for every schedule, clairvoyant or not, preemptive or not,
 * that completes the given jobs, whatever else it does, as long as no slot is
 * faster than the deployment says and no message quicker. Each adds the time
 * from a caller to the entry nearest to a target, and back. They rest on two
 * relaxations:
 *
 * 1. Each job has the deployment for itself, and its tasks may be preempted
 *    and moved. The shortest time is known in closed form (Horvath, Lam and
 *    Sethi 1977): the largest of the whole work over the whole speed and, for
 *    each k, the k longest tasks over the k fastest slots.
 * 2. All slots are one processor of their total speed, which any job can use
 *    as a whole. Whatever the slots do can be copied by it, with no job
 *    completed later.
 *
 * A percentile of the response times is at most x only if few enough jobs
 * take longer than x. So its bound is the smallest x for which both hold in
 * one: the jobs that take longer than x alone are late anyway, and of the
 * others the processor must complete enough in x after their arrival. All of
 * these due times are in the order of the arrivals, for which the least number
 * of late jobs is found exactly (Kise, Ibaraki and Mine 1978).
 *
 * The bound of the mean is the larger one of the mean of 1. and the mean that
 * the shortest remaining work first reaches on the processor of 2., which is
 * the least possible (Schrage 1968).
 *
 * The bounds of several percentiles need not be reached by one schedule.
 */
class gpIdealSchedule
{
public:
  explicit gpIdealSchedule(const gpDeployment& aDeployment);

  /// The bound for one job, by relaxation 1.
  gpMicros LoneRun(const gpPlannedJob& aJob) const;
  /// The bound for a percentile of the jobs' response times; 0 of none.
  gpMicros PercentileBound(const gpPlannedJobs& aJobs,
                           gpPermille aPermille) const;
  gpMicros MeanBound(const gpPlannedJobs& aJobs) const;
  /// The bounds for all that gpPercentiles holds.
  gpPercentiles Bounds(const gpPlannedJobs& aJobs) const;

private:
  /// What the relaxed schedules need to know of a job, in microseconds.
  struct RelaxedJob;
  std::vector<RelaxedJob> Relax(const gpPlannedJobs& aJobs) const;
  double LoneRunMicros(const gpPlannedJob& aJob) const;
  gpMicros Percentile(const std::vector<RelaxedJob>& aJobs,
                      gpPermille aPermille) const;
  gpMicros Mean(const std::vector<RelaxedJob>& aJobs) const;

  /// Sums of the speeds of the k fastest slots, k from 1.
  std::vector<double> fastestSlots_;
  /// From a caller to the nearest target and back.
  gpMicros transit_{ 0 };
};

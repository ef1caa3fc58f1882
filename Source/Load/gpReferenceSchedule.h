#pragma once

#include <vector>

#include "gpExperiment.h"
#include "gpIdealSchedule.h"
#include "gpTime.h"

/// Which waiting job comes first.
enum class gpReferenceOrder
{
  Arrival,
  FewestTasks, ///< fewest tasks not started
  LeastWork,   ///< least work not started; knows all run times
};

/// Where a task runs.
enum class gpReferencePlacement
{
  FastestFree,    ///< the fastest free slot, at once; knows no run times
  EarliestFinish, ///< knows all run times, and waits for a slot if it's worth
};

/** \brief Response times that a list schedule reaches, without overhead.
 *
 * Unlike gpIdealSchedule this is no bound, but something that can be done: on
 * the deployment's slots, without preemption, with each task placed once. With
 * EarliestFinish it's clairvoyant; with FastestFree, and an order that knows no
 * run times, it shows what can be had without that knowledge. In the order of
 * the jobs.
 */
std::vector<gpMicros>
gpReferenceResponses(const gpDeployment& aDeployment,
                     const gpPlannedJobs& aJobs,
                     gpReferenceOrder aOrder,
                     gpReferencePlacement aPlacement);

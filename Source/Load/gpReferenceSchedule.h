#pragma once

#include <vector>

#include "gpExperiment.h"
#include "gpIdealSchedule.h"
#include "gpTime.h"

/// The order in which waiting jobs start.
enum class gpReferenceOrder
{
  Arrival,
  FewestTasks, ///< fewest tasks not yet started
  LeastWork,   ///< least work not yet started; uses the true run times
};

/// The slot on which a task runs.
enum class gpReferencePlacement
{
  FastestFree,    ///< the fastest free slot; uses no run times
  EarliestFinish, ///< uses the true run times; may wait for a busy slot
};

/** \brief Response times of a list schedule without overhead.
 *
 * Unlike the bounds of gpIdealSchedule, this is a feasible schedule on the
 * deployment's slots, without preemption or migration. With EarliestFinish it
 * is clairvoyant; with FastestFree and an order that uses no run times, it
 * shows the response times that are possible without knowing run times. The
 * result has the order of the jobs.
 */
std::vector<gpMicros>
gpReferenceResponses(const gpDeployment& aDeployment,
                     const gpPlannedJobs& aJobs,
                     gpReferenceOrder aOrder,
                     gpReferencePlacement aPlacement);

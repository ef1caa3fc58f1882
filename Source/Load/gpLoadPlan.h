#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpExperiment.h"
#include "gpIds.h"
#include "gpTime.h"

/** \class gpPlannedTask
 * \brief One task of a plan.
 */
struct gpPlannedTask
{
  /// At a target of speed 1; at least 1 ms.
  gpMillis runTime_{ 1 };
  /// Bytes of the body, if it is to be longer than needed.
  std::uint32_t bodyBytes_ = 0;
  /// What the caller declares; off by a random factor.
  std::optional<gpMillis> declaredRunTime_;
  std::optional<std::uint64_t> declaredSize_;
};

/** \class gpPlannedJob
 * \brief One job of a plan.
 */
struct gpPlannedJob
{
  /// From the start of the run.
  gpMicros arrival_{ 0 };
  /// Index into the experiment's teams and job size classes.
  std::size_t team_ = 0;
  std::size_t sizeClass_ = 0;
  /// Whether all its tasks are idempotent.
  bool idempotent_ = false;
  std::optional<gpSubmissionKey> key_;
  std::vector<gpPlannedTask> tasks_;

  /// Sum of the run times at speed 1.
  gpMillis Work() const;
};

/** \class gpLoadPlan
 * \brief All jobs of a run, by arrival.
 */
struct gpLoadPlan
{
  gpExperiment experiment_;
  std::vector<gpPlannedJob> jobs_;
};

/** \brief Draws the jobs of an experiment; the same ones for the same seed.
 *
 * The run name is the first part of all submission keys: a system that has
 * seen a key before answers from its memory.
 *
 * Jobs are drawn until their work is the share of the capacity that the
 * experiment names, so that a heavy tail of sizes doesn't change the load from
 * seed to seed. Their arrivals are those of a Poisson process with that number
 * of events: independent draws over the time, weighted by the bursts. The
 * sequence of jobs doesn't depend on the load. A plan of more than the
 * experiment's largest number of jobs is an error (BadSettings).
 */
absl::StatusOr<gpLoadPlan>
gpMakeLoadPlan(const gpExperiment& aExperiment, const std::string& aRunName);

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
  /// Run time on a target of speed 1; at least 1 ms.
  gpMillis runTime_{ 1 };
  /// The body is padded to this size; 0: no padding.
  std::uint32_t bodyBytes_ = 0;
  /// Values that the caller declares: the true ones times a random factor.
  std::optional<gpMillis> declaredRunTime_;
  std::optional<std::uint64_t> declaredSize_;
};

/** \class gpPlannedJob
 * \brief One job of a plan.
 */
struct gpPlannedJob
{
  /// Time from the start of the run.
  gpMicros arrival_{ 0 };
  /// Indexes into the experiment's teams and job size classes.
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
 * \brief All jobs of a run, in the order of arrival.
 */
struct gpLoadPlan
{
  gpExperiment experiment_;
  std::vector<gpPlannedJob> jobs_;
};

/** \brief Draws the jobs of an experiment; the same ones for the same seed.
 *
 * The run name is the prefix of all submission keys, and must differ between
 * runs: the system answers a known key from its stored result.
 *
 * Jobs are drawn until their work reaches the experiment's share of the
 * capacity, so that a heavy tail of sizes doesn't change the load from seed to
 * seed. The arrivals are those of a Poisson process conditioned on the number
 * of jobs: independent draws over the duration, weighted by the bursts. The
 * sequence of jobs doesn't depend on the load. A plan with more than max_jobs
 * jobs is an error (BadSettings).
 */
absl::StatusOr<gpLoadPlan>
gpMakeLoadPlan(const gpExperiment& aExperiment, const std::string& aRunName);

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/// How an entry chooses among targets with free slots.
enum class gpPlacement
{
  ExpectedFinish, ///< earliest expected finish, from measured run times
  Random,
  RoundRobin,
  LeastLoaded, ///< fewest tasks of this entry in flight
  TwoChoices,  ///< the less loaded of two chosen at random
};

/// Most tasks of a job that any configuration allows.
constexpr std::uint32_t kGpMostJobTasks = 10000;

/** \class gpLimits
 * \brief Limits on the submissions of one service.
 */
struct gpLimits
{
  /// Longest queue of waiting tasks at one entry, 1 to 1000000.
  std::uint32_t queueTasks_ = 10000;
  /// Tasks of one job, 1 to kGpMostJobTasks.
  std::uint32_t jobTasks_ = 270;
  /// Total bytes of the bodies of one job's tasks, 1 byte to 64 MiB.
  std::uint32_t bodyBytes_ = 4U << 20U;
  /// Longest deadline that a caller may request.
  gpMillis maxDeadline_{ 60000 };
  /// Deadline of a submission without one.
  gpMillis defaultDeadline_{ 10000 };
};

/** \class gpRetrySettings
 * \brief How often an entry retries a task whose start was refused.
 */
struct gpRetrySettings
{
  /// Attempts for one task, 1 to 100. A refusal for lack of a free slot or by a
  /// leaving target is always retried, also beyond this limit and the budget.
  std::uint32_t maxAttempts_ = 20;
  /// Retry budget: retries allowed per 100 first attempts, 0 to 1000.
  std::uint32_t budgetPercent_ = 20;
};

/** \class gpClaimSettings
 * \brief How long claims are kept, and when replicas stop granting them.
 */
struct gpClaimSettings
{
  /// How long a claim is kept; must exceed the longest deadline.
  gpMillis retention_{ 600000 };
  /// A replica without contact to the log service for this time grants no more
  /// claims, because its roster may be out of date. A new replica that can't
  /// copy the claims abstains for retention_ plus this time, since a replica
  /// that is cut off from the log may have granted claims until then.
  gpMillis logSilence_{ 3600000 };
};

/** \class gpEjectionSettings
 * \brief When a target whose tasks fail is ejected, that is, gets no new tasks
 * except single probes.
 */
struct gpEjectionSettings
{
  /// Consecutive failures after which a target is ejected, 1 to 1000.
  std::uint32_t failures_ = 3;
  /// Pause before the first probe: a single task that tests the target. The
  /// pause doubles with each further failure, up to 16 times this value.
  gpMillis probeAfter_{ 2000 };
  /// Largest share of the targets that may be ejected, 0 to 100.
  std::uint32_t maxPercent_ = 50;
};

/** \class gpServiceConfig
 * \brief The settings of one service.
 */
struct gpServiceConfig
{
  gpServiceName name_;
  /// The region in which the service's submission keys are claimed.
  gpRegionName region_;
  gpPlacement placement_ = gpPlacement::ExpectedFinish;
  gpLimits limits_;
  gpRetrySettings retries_;
  gpClaimSettings claims_;
  gpEjectionSettings ejection_;
};

/** \class gpTeamConfig
 * \brief The permissions and the share of one team.
 */
struct gpTeamConfig
{
  gpTeamName name_;
  /// Services that the team may use.
  std::set<gpServiceName> services_;
  /// Weight in the fair sharing between teams with waiting tasks, 1 to 1000.
  std::uint32_t weight_ = 1;
  /// Most tasks of the team in flight or waiting at one entry, 1 to 1000000.
  std::uint32_t maxTasks_ = 10000;
};

/** \class gpDrain
 * \brief Identifies a target that gets no new tasks.
 */
struct gpDrain
{
  /// Address of the guard beside the target.
  gpAddress guard_;

  // A false positive of clang-tidy 14, see gpStrongType.h.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpDrain&) const = default;
};

/** \class gpConfiguration
 * \brief The content of one configuration file.
 */
struct gpConfiguration
{
  std::map<gpServiceName, gpServiceConfig> services_;
  std::map<gpTeamName, gpTeamConfig> teams_;
  std::set<gpDrain> drains_;
};

/** \class gpVersionedConfiguration
 * \brief A configuration with the version under which it's in force.
 */
struct gpVersionedConfiguration
{
  gpConfigVersion version_;
  gpConfiguration configuration_;
  /// The file's canonical text, as sent to other processes.
  std::string text_;
  /// The run of `gypsumpoint apply` that put it in force.
  gpApplyId applyId_;
};

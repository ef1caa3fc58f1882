#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/// How an entry chooses among targets with room.
enum class gpPlacement
{
  ExpectedFinish, ///< earliest expected finish, from learned speeds
  Random,
  RoundRobin,
  LeastLoaded, ///< fewest own tasks in flight
  TwoChoices,  ///< the less loaded of two drawn at random
};

/** \class gpLimits
 * \brief What one service accepts.
 */
struct gpLimits
{
  /// Tasks waiting at one entry, 1 to 1000000.
  std::uint32_t queueTasks_ = 10000;
  /// Tasks of one job, 1 to 10000.
  std::uint32_t jobTasks_ = 270;
  /// Bytes of the bodies of one job's tasks, 1 to 64 MiB.
  std::uint32_t bodyBytes_ = 4U << 20U;
  /// Longest deadline a caller may ask for.
  gpMillis maxDeadline_{ 60000 };
  /// Deadline of a submission that names none.
  gpMillis defaultDeadline_{ 10000 };
};

/** \class gpRetrySettings
 * \brief How an entry goes on after a start that was not run.
 */
struct gpRetrySettings
{
  /// Attempts for one task, 1 to 100.
  std::uint32_t maxAttempts_ = 20;
  /// Retries allowed per 100 first attempts, 0 to 1000.
  std::uint32_t budgetPercent_ = 20;
};

/** \class gpClaimSettings
 * \brief How long claims are remembered and may be granted.
 */
struct gpClaimSettings
{
  /// How long a claim is remembered; more than any deadline.
  gpMillis retention_{ 600000 };
  /// A holder that hears nothing of the log service for so long grants nothing;
  /// a new holder that can't copy abstains so much longer.
  gpMillis logSilence_{ 3600000 };
};

/** \class gpEjectionSettings
 * \brief When a target that fails its tasks gets no more of them.
 */
struct gpEjectionSettings
{
  /// Consecutive failures that eject a target, 1 to 1000.
  std::uint32_t failures_ = 3;
  /// Time to the next single probe.
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
  /// The region that its submission keys belong to.
  gpRegionName region_;
  gpPlacement placement_ = gpPlacement::ExpectedFinish;
  gpLimits limits_;
  gpRetrySettings retries_;
  gpClaimSettings claims_;
  gpEjectionSettings ejection_;
};

/** \class gpTeamConfig
 * \brief The share of one team.
 */
struct gpTeamConfig
{
  gpTeamName name_;
  /// Services that the team may use.
  std::set<gpServiceName> services_;
  /// Relative share when teams compete, 1 to 1000.
  std::uint32_t weight_ = 1;
  /// Tasks of the team in flight or waiting at one entry, 1 to 1000000.
  std::uint32_t maxTasks_ = 10000;
};

/** \class gpDrain
 * \brief Targets that get no new work.
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
 * \brief The whole content of one configuration file.
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
  /// The file's canonical text, for handing on to other processes.
  std::string text_;
  /// The apply that put it in force.
  gpApplyId applyId_;
};

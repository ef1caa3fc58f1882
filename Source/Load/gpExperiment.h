#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/** \brief What an experiment file says; see docs/commands/gypsumpoint-load.md.
 *
 * A family of plain aggregates shares this file.
 */

/** \class gpBurst
 * \brief A span of the run in which jobs arrive at a multiple of the rate.
 */
struct gpBurst
{
  gpMillis from_{ 0 };
  gpMillis to_{ 0 };
  /// 0 (nothing arrives) to 100. Bursts that overlap are multiplied.
  double factor_ = 1.0;
};

/** \class gpJobSizeClass
 * \brief A share of the jobs, with a number of tasks drawn uniformly.
 */
struct gpJobSizeClass
{
  /// Relative to the other classes.
  double share_ = 1.0;
  std::uint32_t min_ = 1;
  std::uint32_t max_ = 1;
};

/** \class gpRunTimeClass
 * \brief A share of the tasks, with a log-uniform run time at speed 1.
 */
struct gpRunTimeClass
{
  /// Relative to the other classes.
  double share_ = 1.0;
  gpMillis min_{ 50 };
  gpMillis max_{ 1000 };
};

/** \class gpTeamShare
 * \brief A team and its share of the jobs.
 */
struct gpTeamShare
{
  gpTeamName name_;
  /// Relative to the other teams.
  double share_ = 1.0;
};

/** \class gpTargetSite
 * \brief One target of the stand-in deployment.
 */
struct gpTargetSite
{
  std::string name_;
  gpDataCentreName dataCentre_;
  gpRackName rack_;
  /// Tasks that it runs at once.
  std::uint32_t slots_ = 8;
  /// A task of run time r takes r / speed.
  double speed_ = 1.0;
};

/** \class gpEntrySite
 * \brief One entry of the stand-in deployment.
 */
struct gpEntrySite
{
  std::string name_;
  gpDataCentreName dataCentre_;
};

/** \class gpDeployment
 * \brief The slots, speeds and distances that the ideal is computed from.
 *
 * The distances are those that the network under test really has.
 */
struct gpDeployment
{
  gpRegionName region_;
  /// One way between callers and entries.
  gpMicros callerDelay_{ 0 };
  /// One way between two data centres.
  gpMicros dataCentreDelay_{ 0 };
  std::vector<gpEntrySite> entries_;
  std::vector<gpTargetSite> targets_;

  /// Seconds of run time at speed 1 that all slots do in a second.
  double Capacity() const;
  /// One way from the nearest entry to a target.
  gpMicros EntryDelay(const gpTargetSite& aTarget) const;
};

/** \class gpDeclarations
 * \brief How far the sizes and run times that callers declare are off.
 */
struct gpDeclarations
{
  /// Declared values are the true ones times 1/factor to factor, log-uniform;
  /// 1 to 1000.
  double factor_ = 10.0;
  /// Tasks that declare anything, 0 to 1.
  double share_ = 1.0;
};

/** \class gpExperiment
 * \brief One load experiment: what arrives, and on which deployment.
 */
struct gpExperiment
{
  std::string name_ = "load";
  gpServiceName service_{ "pond-order" };
  std::string path_ = "/v1/hold";
  std::uint64_t seed_ = 1;
  /// Jobs arrive for so long.
  gpMillis duration_{ 15000 };
  /// Left out of the goodput, at the start of the run; at most half of it.
  gpMillis warmUp_{ 2000 };
  /// Work that arrives, as a share of the capacity; bursts come on top.
  double load_ = 0.8;
  /// If set, jobs arrive at this rate and load_ has no say.
  std::optional<double> jobsPerSecond_;
  /// A plan of more jobs is refused.
  std::uint64_t maxJobs_ = 200000;
  /// Multiplies run times and deadlines, nothing else.
  double timeScale_ = 1.0;
  gpMillis deadline_{ 10000 };
  std::vector<gpBurst> bursts_;
  std::vector<gpJobSizeClass> jobSizes_;
  std::vector<gpRunTimeClass> runTimes_;
  gpDeclarations declarations_;
  /// Bytes of a task's body, log-uniform; 0: no longer than needed.
  std::uint32_t minBodyBytes_ = 0;
  std::uint32_t maxBodyBytes_ = 0;
  std::vector<gpTeamShare> teams_;
  /// Jobs all of whose tasks are idempotent, 0 to 1.
  double idempotentShare_ = 0.5;
  /// Idempotent jobs that are sent without a submission key, 0 to 1.
  double keylessShare_ = 0.0;
  gpDeployment deployment_;

  /// The deadline that jobs ask for.
  gpMillis ScaledDeadline() const;
};

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"

/** \brief Plain aggregates for the content of an experiment file, which
 * docs/commands/gypsumpoint-load.md describes.
 */

/** \class gpBurst
 * \brief A span of the run in which the arrival rate is multiplied.
 */
struct gpBurst
{
  gpMillis from_{ 0 };
  gpMillis to_{ 0 };
  /// 0 (no arrivals) to 100. The factors of overlapping bursts are multiplied.
  double factor_ = 1.0;
};

/** \class gpJobSizeClass
 * \brief A share of the jobs, with a uniformly distributed number of tasks.
 */
struct gpJobSizeClass
{
  /// Weight relative to the other classes.
  double share_ = 1.0;
  std::uint32_t min_ = 1;
  std::uint32_t max_ = 1;
};

/** \class gpRunTimeClass
 * \brief A share of the tasks, with log-uniform run times at speed 1.
 */
struct gpRunTimeClass
{
  /// Weight relative to the other classes.
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
  /// Weight relative to the other teams.
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
  /// Number of tasks that the target runs concurrently.
  std::uint32_t slots_ = 8;
  /// A task whose run time at speed 1 is r takes r / speed.
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
 * \brief The slots, speeds and network delays from which the lower bounds of
 * the response times are computed.
 *
 * The delays must be those that the network under test really has.
 */
struct gpDeployment
{
  gpRegionName region_;
  /// One-way network delay between callers and entries.
  gpMicros callerDelay_{ 0 };
  /// One-way network delay between two data centres.
  gpMicros dataCentreDelay_{ 0 };
  std::vector<gpEntrySite> entries_;
  std::vector<gpTargetSite> targets_;

  /// Seconds of run time at speed 1 that all slots complete in a second.
  double Capacity() const;
  /// One-way network delay from the nearest entry to a target.
  gpMicros EntryDelay(const gpTargetSite& aTarget) const;
};

/** \class gpDeclarations
 * \brief The error of the sizes and run times that callers declare.
 */
struct gpDeclarations
{
  /// 1 to 1000. A declared value is the true one times a log-uniform number
  /// from 1/factor to factor.
  double factor_ = 10.0;
  /// Share of the tasks that declare a size and a run time, 0 to 1.
  double share_ = 1.0;
};

/** \class gpExperiment
 * \brief One load experiment: the jobs that arrive, and the deployment.
 */
struct gpExperiment
{
  std::string name_ = "load";
  gpServiceName service_{ "pond-order" };
  std::string path_ = "/v1/hold";
  std::uint64_t seed_ = 1;
  /// Time span in which jobs arrive.
  gpMillis duration_{ 15000 };
  /// Start of the run that the goodput excludes; at most half of the duration.
  gpMillis warmUp_{ 2000 };
  /// Offered work as a share of the capacity, before bursts multiply it.
  double load_ = 0.8;
  /// If set, jobs arrive at this rate and load_ is ignored.
  std::optional<double> jobsPerSecond_;
  /// A plan with more jobs is rejected.
  std::uint64_t maxJobs_ = 200000;
  /// Factor for run times and deadlines only.
  double timeScale_ = 1.0;
  gpMillis deadline_{ 10000 };
  std::vector<gpBurst> bursts_;
  std::vector<gpJobSizeClass> jobSizes_;
  std::vector<gpRunTimeClass> runTimes_;
  gpDeclarations declarations_;
  /// Log-uniform size of a task's body; 0: no padding.
  std::uint32_t minBodyBytes_ = 0;
  std::uint32_t maxBodyBytes_ = 0;
  std::vector<gpTeamShare> teams_;
  /// Share of the jobs whose tasks are all idempotent, 0 to 1.
  double idempotentShare_ = 0.5;
  /// Share of the idempotent jobs that have no submission key, 0 to 1.
  double keylessShare_ = 0.0;
  gpDeployment deployment_;

  /// The deadline of the jobs, multiplied by the time scale.
  gpMillis ScaledDeadline() const;
};

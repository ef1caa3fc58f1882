#include "gpExperimentFile.h"

#include <algorithm>

#include <boost/json.hpp>

#include "gpError.h"
#include "gpLoadFields.h"

namespace {

constexpr std::uint64_t kLongestMillis = 24ULL * 3600 * 1000;
constexpr std::uint64_t kLongestDelayMicros = 10ULL * 1000 * 1000;
constexpr std::uint64_t kMostTasks = 10000;
constexpr std::uint64_t kMostJobs = 10ULL * 1000 * 1000;
constexpr std::uint64_t kMostBodyBytes = 1U << 20U;
constexpr std::uint32_t kDefaultTargets = 11;
constexpr double kLargestShare = 1e6;

void
ReadShare(gpLoadFields& aFields, double& aShare)
{
  aFields.Read("share", aShare, 0.0, kLargestShare);
}

gpBurst
ReadBurst(gpLoadFields& aFields)
{
  gpBurst burst;
  aFields.ReadTime("from_ms", burst.from_, 0, kLongestMillis);
  aFields.ReadTime("to_ms", burst.to_, 0, kLongestMillis);
  aFields.Read("factor", burst.factor_, 0.0, 100.0);
  aFields.RejectUnknownFields();
  if (burst.to_ < burst.from_) {
    aFields.Fail("to_ms", "is before from_ms");
  }
  return burst;
}

gpJobSizeClass
ReadJobSize(gpLoadFields& aFields)
{
  gpJobSizeClass size;
  ReadShare(aFields, size.share_);
  aFields.ReadCount("min", size.min_, 1, kMostTasks);
  size.max_ = size.min_;
  aFields.ReadCount("max", size.max_, 1, kMostTasks);
  aFields.RejectUnknownFields();
  if (size.max_ < size.min_) {
    aFields.Fail("max", "is less than min");
  }
  return size;
}

gpRunTimeClass
ReadRunTime(gpLoadFields& aFields)
{
  gpRunTimeClass runTime;
  ReadShare(aFields, runTime.share_);
  aFields.ReadTime("min_ms", runTime.min_, 1, kLongestMillis);
  runTime.max_ = runTime.min_;
  aFields.ReadTime("max_ms", runTime.max_, 1, kLongestMillis);
  aFields.RejectUnknownFields();
  if (runTime.max_ < runTime.min_) {
    aFields.Fail("max_ms", "is less than min_ms");
  }
  return runTime;
}

gpTeamShare
ReadTeam(gpLoadFields& aFields)
{
  gpTeamShare team;
  aFields.Read("name", team.name_.value_);
  ReadShare(aFields, team.share_);
  aFields.RejectUnknownFields();
  return team;
}

gpEntrySite
ReadEntry(gpLoadFields& aFields)
{
  gpEntrySite entry;
  aFields.Read("name", entry.name_);
  aFields.Read("data_centre", entry.dataCentre_.value_);
  aFields.RejectUnknownFields();
  return entry;
}

gpTargetSite
ReadTarget(gpLoadFields& aFields)
{
  gpTargetSite target;
  aFields.Read("name", target.name_);
  aFields.Read("data_centre", target.dataCentre_.value_);
  aFields.Read("rack", target.rack_.value_);
  aFields.ReadCount("slots", target.slots_, 1, kMostTasks);
  aFields.Read("speed", target.speed_, 0.001, 1000.0);
  aFields.RejectUnknownFields();
  return target;
}

void
ReadDeployment(gpLoadFields& aFields, gpDeployment& aDeployment)
{
  aFields.Read("region", aDeployment.region_.value_);
  aFields.ReadTime(
    "caller_delay_us", aDeployment.callerDelay_, 0, kLongestDelayMicros);
  aFields.ReadTime("data_centre_delay_us",
                   aDeployment.dataCentreDelay_,
                   0,
                   kLongestDelayMicros);
  aFields.ReadList("entries", [&aDeployment](gpLoadFields& aEntry) {
    aDeployment.entries_.push_back(ReadEntry(aEntry));
  });
  aFields.ReadList("targets", [&aDeployment](gpLoadFields& aTarget) {
    aDeployment.targets_.push_back(ReadTarget(aTarget));
  });
  aFields.RejectUnknownFields();
}

void
ReadTimes(gpLoadFields& aFields, gpExperiment& aExperiment)
{
  aFields.ReadTime("duration_ms", aExperiment.duration_, 1, kLongestMillis);
  aFields.ReadTime("warm_up_ms", aExperiment.warmUp_, 0, kLongestMillis);
  aFields.ReadTime("deadline_ms", aExperiment.deadline_, 1, kLongestMillis);
  aFields.Read("time_scale", aExperiment.timeScale_, 0.001, 1000.0);
  aFields.Read("load", aExperiment.load_, 0.0001, 100.0);
  if (aFields.Has("jobs_per_second")) {
    double rate = 0.0;
    aFields.Read("jobs_per_second", rate, 0.001, 1e6);
    aExperiment.jobsPerSecond_ = rate;
  }
  aFields.ReadCount("max_jobs", aExperiment.maxJobs_, 1, kMostJobs);
  aFields.ReadList("bursts", [&aExperiment](gpLoadFields& aBurst) {
    aExperiment.bursts_.push_back(ReadBurst(aBurst));
  });
}

void
ReadJobs(gpLoadFields& aFields, gpExperiment& aExperiment)
{
  aFields.ReadList("job_sizes", [&aExperiment](gpLoadFields& aSize) {
    aExperiment.jobSizes_.push_back(ReadJobSize(aSize));
  });
  aFields.ReadList("run_times", [&aExperiment](gpLoadFields& aRunTime) {
    aExperiment.runTimes_.push_back(ReadRunTime(aRunTime));
  });
  aFields.ReadList("teams", [&aExperiment](gpLoadFields& aTeam) {
    aExperiment.teams_.push_back(ReadTeam(aTeam));
  });
  aFields.ReadObject("declared", [&aExperiment](gpLoadFields& aDeclared) {
    gpDeclarations& declared = aExperiment.declarations_;
    aDeclared.Read("factor", declared.factor_, 1.0, 1000.0);
    aDeclared.Read("share", declared.share_, 0.0, 1.0);
    aDeclared.RejectUnknownFields();
  });
  aFields.ReadObject("body_bytes", [&aExperiment](gpLoadFields& aBytes) {
    aBytes.ReadCount("min", aExperiment.minBodyBytes_, 1, kMostBodyBytes);
    aExperiment.maxBodyBytes_ = aExperiment.minBodyBytes_;
    aBytes.ReadCount("max", aExperiment.maxBodyBytes_, 1, kMostBodyBytes);
    aBytes.RejectUnknownFields();
    if (aExperiment.maxBodyBytes_ < aExperiment.minBodyBytes_) {
      aBytes.Fail("max", "is less than min");
    }
  });
  aFields.Read("idempotent_share", aExperiment.idempotentShare_, 0.0, 1.0);
  aFields.Read("keyless_share", aExperiment.keylessShare_, 0.0, 1.0);
}

template<typename Class>
void
CheckShares(gpLoadFields& aFields,
            const std::string& aName,
            const std::vector<Class>& aClasses)
{
  double sum = 0.0;
  for (const Class& element : aClasses) {
    sum += element.share_;
  }
  if (sum <= 0.0) {
    aFields.Fail(aName, "has no share above 0");
  }
}

void
FillDefaults(gpExperiment& aExperiment)
{
  if (aExperiment.jobSizes_.empty()) {
    aExperiment.jobSizes_.emplace_back();
  }
  if (aExperiment.runTimes_.empty()) {
    aExperiment.runTimes_.emplace_back();
  }
  if (aExperiment.teams_.empty()) {
    aExperiment.teams_.push_back({ gpTeamName{ "garden-center-1" }, 1.0 });
  }
  if (aExperiment.deployment_.targets_.empty()) {
    aExperiment.deployment_.targets_.resize(kDefaultTargets);
  }
}

absl::StatusOr<boost::json::value>
ParseJson(std::string_view aText)
{
  boost::json::error_code error;
  boost::json::value value =
    boost::json::parse({ aText.data(), aText.size() }, error);
  if (error) {
    return gpMakeError(gpErrorCode::BadSettings,
                       "experiment is not JSON: " + error.message());
  }
  return value;
}

boost::json::value
OverrideValue(const std::string& aText)
{
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(aText, error);
  return error ? boost::json::value(aText) : value;
}

/// Sets the field at the override's path, and creates missing objects on it.
absl::Status
Apply(const gpOverride& aOverride, boost::json::value& aDocument)
{
  boost::json::value* node = &aDocument;
  std::size_t begin = 0;
  while (begin <= aOverride.path_.size()) {
    const std::size_t end =
      std::min(aOverride.path_.find('.', begin), aOverride.path_.size());
    const std::string name = aOverride.path_.substr(begin, end - begin);
    if (name.empty() || !node->is_object()) {
      return gpMakeError(gpErrorCode::BadSettings,
                         aOverride.path_ + ": no such field");
    }
    boost::json::object& object = node->get_object();
    const bool isLast = end == aOverride.path_.size();
    if (!isLast && !object.contains(name)) {
      object[name] = boost::json::object();
    }
    node = &object[name];
    begin = end + 1;
  }
  *node = OverrideValue(aOverride.value_);
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<gpExperiment>
gpParseExperiment(std::string_view aText,
                  const std::vector<gpOverride>& aOverrides)
{
  auto document = ParseJson(aText);
  if (!document.ok()) {
    return document.status();
  }
  for (const gpOverride& override : aOverrides) {
    absl::Status applied = Apply(override, *document);
    if (!applied.ok()) {
      return applied;
    }
  }
  gpExperiment experiment;
  absl::Status status;
  gpLoadFields fields(*document, "", status);
  fields.Read("name", experiment.name_);
  fields.Read("service", experiment.service_.value_);
  fields.Read("path", experiment.path_);
  fields.ReadCount("seed", experiment.seed_, 0, UINT64_MAX);
  ReadTimes(fields, experiment);
  ReadJobs(fields, experiment);
  fields.ReadObject("deployment", [&experiment](gpLoadFields& aDeployment) {
    ReadDeployment(aDeployment, experiment.deployment_);
  });
  fields.RejectUnknownFields();
  FillDefaults(experiment);
  CheckShares(fields, "job_sizes", experiment.jobSizes_);
  CheckShares(fields, "run_times", experiment.runTimes_);
  CheckShares(fields, "teams", experiment.teams_);
  experiment.warmUp_ = std::min(experiment.warmUp_, experiment.duration_ / 2);
  if (!status.ok()) {
    return status;
  }
  return experiment;
}

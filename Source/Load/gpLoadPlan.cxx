#include "gpLoadPlan.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gpError.h"
#include "gpLoadRandom.h"

namespace {

/// A span of the run with a constant arrival rate. Its mass is the length in
/// microseconds times the rate factor, proportional to the expected arrivals.
struct RateSpan
{
  double from_ = 0.0;
  double to_ = 0.0;
  double factor_ = 1.0;

  double Mass() const { return (to_ - from_) * factor_; }
};

std::vector<RateSpan>
RateSpansOf(const gpExperiment& aExperiment)
{
  const gpMillis end = aExperiment.duration_;
  std::vector<gpMillis> edges = { gpMillis{ 0 }, end };
  for (const gpBurst& burst : aExperiment.bursts_) {
    edges.push_back(std::min(burst.from_, end));
    edges.push_back(std::min(burst.to_, end));
  }
  std::sort(edges.begin(), edges.end());
  std::vector<RateSpan> spans;
  for (std::size_t index = 0; index + 1 < edges.size(); ++index) {
    double factor = 1.0;
    for (const gpBurst& burst : aExperiment.bursts_) {
      const bool isIn = burst.from_ <= edges[index] && edges[index] < burst.to_;
      factor *= isIn ? burst.factor_ : 1.0;
    }
    spans.push_back({ static_cast<double>(gpMicros{ edges[index] }.count()),
                      static_cast<double>(gpMicros{ edges[index + 1] }.count()),
                      factor });
  }
  return spans;
}

/// The total mass of the spans.
double
MassOf(const std::vector<RateSpan>& aSpans)
{
  double mass = 0.0;
  for (const RateSpan& span : aSpans) {
    mass += span.Mass();
  }
  return mass;
}

gpMicros
TimeAtMass(const std::vector<RateSpan>& aSpans, double aMass)
{
  double left = aMass;
  for (const RateSpan& span : aSpans) {
    if (left < span.Mass()) {
      const double time = span.from_ + left / span.factor_;
      return gpMicros{ static_cast<std::int64_t>(time) };
    }
    left -= span.Mass();
  }
  return gpMicros{ static_cast<std::int64_t>(aSpans.back().to_) };
}

/** \class JobSource
 * \brief Draws the jobs of an experiment one by one.
 */
class JobSource
{
public:
  explicit JobSource(const gpExperiment& aExperiment)
    : experiment_(aExperiment)
    , random_(aExperiment.seed_, "jobs")
  {
    for (const gpTeamShare& team : aExperiment.teams_) {
      teamShares_.push_back(team.share_);
    }
    for (const gpJobSizeClass& size : aExperiment.jobSizes_) {
      sizeShares_.push_back(size.share_);
    }
    for (const gpRunTimeClass& runTime : aExperiment.runTimes_) {
      runTimeShares_.push_back(runTime.share_);
    }
  }

  gpPlannedJob Next(const std::string& aKey)
  {
    gpPlannedJob job;
    job.team_ = random_.Pick(teamShares_);
    job.sizeClass_ = random_.Pick(sizeShares_);
    job.idempotent_ = random_.Chance(experiment_.idempotentShare_);
    const bool isKeyless = random_.Chance(experiment_.keylessShare_);
    if (!job.idempotent_ || !isKeyless) {
      job.key_ = gpSubmissionKey{ aKey };
    }
    const gpJobSizeClass& size = experiment_.jobSizes_[job.sizeClass_];
    job.tasks_.resize(random_.Between(size.min_, size.max_));
    for (gpPlannedTask& task : job.tasks_) {
      Fill(task);
    }
    return job;
  }

private:
  void Fill(gpPlannedTask& aTask)
  {
    const std::size_t index = random_.Pick(runTimeShares_);
    const gpRunTimeClass& runTime = experiment_.runTimes_[index];
    const double drawn =
      random_.LogUniform(static_cast<double>(runTime.min_.count()),
                         static_cast<double>(runTime.max_.count()));
    aTask.runTime_ = gpMillis{ AtLeastOne(drawn * experiment_.timeScale_) };
    if (experiment_.maxBodyBytes_ > 0) {
      aTask.bodyBytes_ =
        static_cast<std::uint32_t>(AtLeastOne(random_.LogUniform(
          experiment_.minBodyBytes_, experiment_.maxBodyBytes_)));
    }
    Declare(aTask);
  }

  void Declare(gpPlannedTask& aTask)
  {
    const double factor = experiment_.declarations_.factor_;
    const double runTimeFactor = random_.LogUniform(1.0 / factor, factor);
    const double sizeFactor = random_.LogUniform(1.0 / factor, factor);
    if (!random_.Chance(experiment_.declarations_.share_)) {
      return;
    }
    aTask.declaredRunTime_ = gpMillis{ AtLeastOne(
      static_cast<double>(aTask.runTime_.count()) * runTimeFactor) };
    aTask.declaredSize_ = static_cast<std::uint64_t>(AtLeastOne(
      std::max(1.0, static_cast<double>(aTask.bodyBytes_)) * sizeFactor));
  }

  static std::int64_t AtLeastOne(double aValue)
  {
    return std::max<std::int64_t>(1, std::llround(aValue));
  }

  const gpExperiment& experiment_;
  gpLoadRandom random_;
  std::vector<double> teamShares_;
  std::vector<double> sizeShares_;
  std::vector<double> runTimeShares_;
};

/** \class PlanSize
 * \brief The intended size of a plan: a number of jobs, or an amount of work.
 */
struct PlanSize
{
  double jobs_ = 0.0;
  /// Microseconds of run time at speed 1; used if jobs_ is 0.
  double work_ = 0.0;

  /// Whether the plan is nearer to the intended size without the next job.
  bool IsReached(std::size_t aJobs, double aWork, double aNextWork) const
  {
    if (jobs_ > 0.0) {
      return static_cast<double>(aJobs) + 0.5 > jobs_;
    }
    return aWork + aNextWork / 2.0 > work_;
  }
};

PlanSize
PlanSizeOf(const gpExperiment& aExperiment, double aMass)
{
  PlanSize planSize;
  if (aExperiment.jobsPerSecond_.has_value()) {
    planSize.jobs_ = *aExperiment.jobsPerSecond_ * aMass / 1e6;
  } else {
    const double capacity = aExperiment.deployment_.Capacity();
    planSize.work_ = aExperiment.load_ * capacity * aMass;
  }
  return planSize;
}

std::vector<gpMicros>
DrawArrivals(const std::vector<RateSpan>& aSpans,
             std::uint64_t aSeed,
             std::size_t aCount)
{
  gpLoadRandom random(aSeed, "arrivals");
  const double mass = MassOf(aSpans);
  std::vector<gpMicros> arrivals;
  arrivals.reserve(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    arrivals.push_back(TimeAtMass(aSpans, random.Uniform() * mass));
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

} // namespace

gpMillis
gpPlannedJob::Work() const
{
  gpMillis work{ 0 };
  for (const gpPlannedTask& task : tasks_) {
    work += task.runTime_;
  }
  return work;
}

absl::StatusOr<gpLoadPlan>
gpMakeLoadPlan(const gpExperiment& aExperiment, const std::string& aRunName)
{
  gpLoadPlan plan;
  plan.experiment_ = aExperiment;
  const std::vector<RateSpan> spans = RateSpansOf(aExperiment);
  const PlanSize planSize = PlanSizeOf(aExperiment, MassOf(spans));
  JobSource source(aExperiment);
  double work = 0.0;
  for (;;) {
    const std::size_t index = plan.jobs_.size();
    gpPlannedJob job = source.Next(aRunName + "-" + std::to_string(index));
    const auto jobWork = static_cast<double>(gpMicros{ job.Work() }.count());
    if (index > 0 && planSize.IsReached(index, work, jobWork)) {
      break;
    }
    if (index == aExperiment.maxJobs_) {
      return gpMakeError(gpErrorCode::BadSettings,
                         "max_jobs: the plan needs more than " +
                           std::to_string(aExperiment.maxJobs_));
    }
    work += jobWork;
    plan.jobs_.push_back(std::move(job));
  }
  const std::vector<gpMicros> arrivals =
    DrawArrivals(spans, aExperiment.seed_, plan.jobs_.size());
  for (std::size_t index = 0; index < arrivals.size(); ++index) {
    plan.jobs_[index].arrival_ = arrivals[index];
  }
  return plan;
}

#include "gpLoadResult.h"

#include <algorithm>
#include <array>
#include <functional>

#include "gpIdealSchedule.h"
#include "gpReferenceSchedule.h"
#include "gpResponseHistogram.h"

namespace {

constexpr double kMillisPerSecond = 1000.0;
constexpr std::int64_t kMicrosPerSecond = 1000LL * 1000;

bool
IsAccepted(gpLoadOutcome aOutcome)
{
  return aOutcome != gpLoadOutcome::NotRun &&
         aOutcome != gpLoadOutcome::Unsent &&
         aOutcome != gpLoadOutcome::Pending;
}

bool
IsAnswered(gpLoadOutcome aOutcome)
{
  return aOutcome == gpLoadOutcome::Complete ||
         aOutcome == gpLoadOutcome::NotRun ||
         aOutcome == gpLoadOutcome::Failed ||
         aOutcome == gpLoadOutcome::Unknown;
}

bool
IsComplete(const gpJobRecord& aRecord)
{
  return aRecord.outcome_ == gpLoadOutcome::Complete;
}

double
SecondsOf(gpMillis aWork)
{
  return static_cast<double>(aWork.count()) / kMillisPerSecond;
}

using JobFilter = std::function<bool(const gpPlannedJob&)>;

/** \class GroupEvaluator
 * \brief Evaluates groups of jobs of one run.
 */
class GroupEvaluator
{
public:
  GroupEvaluator(const gpLoadPlan& aPlan, const gpLoadRecords& aRecords)
    : plan_(aPlan)
    , records_(aRecords)
    , ideal_(aPlan.experiment_.deployment_)
  {
  }

  gpJobGroup Evaluate(const std::string& aKind,
                      const std::string& aName,
                      const JobFilter& aFilter) const
  {
    gpJobGroup group;
    group.kind_ = aKind;
    group.name_ = aName;
    gpPlannedJobs complete;
    std::vector<gpMicros> acceptedTimes;
    std::vector<gpMicros> completeTimes;
    gpMillis work{ 0 };
    gpMillis completedWork{ 0 };
    for (std::size_t index = 0; index < plan_.jobs_.size(); ++index) {
      const gpPlannedJob& job = plan_.jobs_[index];
      if (!aFilter(job)) {
        continue;
      }
      const gpJobRecord& record = records_.jobs_.at(index);
      ++group.jobs_;
      ++group.outcomes_[std::string(gpLoadOutcomeName(record.outcome_))];
      work += job.Work();
      if (IsAccepted(record.outcome_)) {
        acceptedTimes.push_back(record.response_);
      }
      if (IsComplete(record)) {
        completedWork += job.Work();
        completeTimes.push_back(record.response_);
        complete.push_back(&job);
      }
    }
    group.completedShare_ =
      work.count() > 0 ? SecondsOf(completedWork) / SecondsOf(work) : 0.0;
    group.accepted_ = gpPercentilesOf(std::move(acceptedTimes));
    group.response_ = gpPercentilesOf(std::move(completeTimes));
    group.bound_ = ideal_.Bounds(complete);
    return group;
  }

private:
  const gpLoadPlan& plan_;
  const gpLoadRecords& records_;
  gpIdealSchedule ideal_;
};

std::string
SizeName(const gpJobSizeClass& aClass)
{
  const std::string min = std::to_string(aClass.min_);
  return aClass.min_ == aClass.max_ ? min
                                    : min + "-" + std::to_string(aClass.max_);
}

std::vector<gpJobGroup>
EvaluateGroups(const gpLoadPlan& aPlan, const gpLoadRecords& aRecords)
{
  const GroupEvaluator evaluator(aPlan, aRecords);
  const gpExperiment& experiment = aPlan.experiment_;
  std::vector<gpJobGroup> groups;
  groups.push_back(
    evaluator.Evaluate("all", "all", [](const gpPlannedJob&) { return true; }));
  for (std::size_t team = 0; team < experiment.teams_.size(); ++team) {
    const std::string& name = experiment.teams_[team].name_.value_;
    groups.push_back(
      evaluator.Evaluate("team", name, [team](const gpPlannedJob& aJob) {
        return aJob.team_ == team;
      }));
  }
  for (std::size_t size = 0; size < experiment.jobSizes_.size(); ++size) {
    const std::string name = SizeName(experiment.jobSizes_[size]);
    groups.push_back(
      evaluator.Evaluate("size", name, [size](const gpPlannedJob& aJob) {
        return aJob.sizeClass_ == size;
      }));
  }
  return groups;
}

gpPlannedJobs
CompleteJobs(const gpLoadPlan& aPlan, const gpLoadRecords& aRecords)
{
  gpPlannedJobs jobs;
  for (std::size_t index = 0; index < aPlan.jobs_.size(); ++index) {
    if (IsComplete(aRecords.jobs_.at(index))) {
      jobs.push_back(&aPlan.jobs_[index]);
    }
  }
  return jobs;
}

std::vector<gpReferenceResult>
EvaluateReferences(const gpLoadPlan& aPlan, const gpPlannedJobs& aJobs)
{
  struct Reference
  {
    const char* name_;
    gpReferenceOrder order_;
    gpReferencePlacement placement_;
  };
  constexpr std::array kReferences = {
    Reference{ "clairvoyant, least work first",
               gpReferenceOrder::LeastWork,
               gpReferencePlacement::EarliestFinish },
    Reference{ "clairvoyant, by arrival",
               gpReferenceOrder::Arrival,
               gpReferencePlacement::EarliestFinish },
    Reference{ "blind, fewest tasks first",
               gpReferenceOrder::FewestTasks,
               gpReferencePlacement::FastestFree },
    Reference{ "blind, by arrival",
               gpReferenceOrder::Arrival,
               gpReferencePlacement::FastestFree },
  };
  std::vector<gpReferenceResult> results;
  results.reserve(kReferences.size());
  for (const Reference& reference : kReferences) {
    results.push_back(
      { reference.name_,
        gpPercentilesOf(gpReferenceResponses(aPlan.experiment_.deployment_,
                                             aJobs,
                                             reference.order_,
                                             reference.placement_)) });
  }
  return results;
}

/// Work completed between the end of the warm-up and the end of the arrivals,
/// as a share of the capacity.
double
GoodputOf(const gpLoadPlan& aPlan, const gpLoadRecords& aRecords)
{
  const gpExperiment& experiment = aPlan.experiment_;
  gpMillis work{ 0 };
  for (std::size_t index = 0; index < aPlan.jobs_.size(); ++index) {
    const gpJobRecord& record = aRecords.jobs_.at(index);
    const gpMicros end = aPlan.jobs_[index].arrival_ + record.response_;
    const bool isCounted = IsComplete(record) && end >= experiment.warmUp_ &&
                           end < experiment.duration_;
    work += isCounted ? aPlan.jobs_[index].Work() : gpMillis{ 0 };
  }
  const double span = SecondsOf(experiment.duration_ - experiment.warmUp_);
  return SecondsOf(work) / (experiment.deployment_.Capacity() * span);
}

std::vector<gpLoadSecond>
EvaluateSeconds(const gpLoadPlan& aPlan, const gpLoadRecords& aRecords)
{
  const auto count = static_cast<std::size_t>(
    gpMicros{ aPlan.experiment_.duration_ }.count() / kMicrosPerSecond + 1);
  std::vector<gpLoadSecond> seconds(count);
  std::vector<std::vector<gpMicros>> responses(count);
  for (std::size_t index = 0; index < aPlan.jobs_.size(); ++index) {
    const gpJobRecord& record = aRecords.jobs_.at(index);
    const auto second = static_cast<std::size_t>(
      aPlan.jobs_[index].arrival_.count() / kMicrosPerSecond);
    ++seconds.at(second).jobs_;
    if (record.outcome_ == gpLoadOutcome::NotRun) {
      ++seconds[second].refused_;
    }
    if (IsComplete(record)) {
      ++seconds[second].complete_;
      responses[second].push_back(record.response_);
    }
  }
  for (std::size_t second = 0; second < count; ++second) {
    seconds[second].p99_ = gpPercentilesOf(std::move(responses[second])).p99_;
  }
  return seconds;
}

void
EvaluateRefusals(const gpLoadRecords& aRecords, gpLoadResult& aResult)
{
  std::vector<gpMicros> latencies;
  for (const gpRefusalRecord& refusal : aRecords.refusals_) {
    ++aResult.refusalsByCode_[refusal.code_];
    aResult.refusalsWithRetryAfter_ += refusal.hasRetryAfter_ ? 1 : 0;
    latencies.push_back(refusal.latency_);
  }
  aResult.refusals_ = gpPercentilesOf(std::move(latencies));
}

void
CountJobs(const gpLoadPlan& aPlan,
          const gpLoadRecords& aRecords,
          gpLoadResult& aResult)
{
  std::vector<gpMicros> responses;
  gpMillis work{ 0 };
  for (std::size_t index = 0; index < aPlan.jobs_.size(); ++index) {
    const gpPlannedJob& job = aPlan.jobs_[index];
    const gpJobRecord& record = aRecords.jobs_.at(index);
    aResult.tasks_ += job.tasks_.size();
    work += job.Work();
    aResult.resubmissions_ += record.attempts_ > 0 ? record.attempts_ - 1 : 0;
    if (record.fault_ != gpAnswerFault::None) {
      ++aResult.faults_[std::string(gpAnswerFaultName(record.fault_))];
    }
    if (IsComplete(record)) {
      responses.push_back(record.response_);
    } else if (!record.code_.empty()) {
      ++aResult.codes_[record.code_];
    }
  }
  aResult.histogram_ = gpResponseHistogram(responses);
  aResult.offered_ =
    SecondsOf(work) / (aResult.capacity_ * SecondsOf(aResult.duration_));
}

} // namespace

std::uint64_t
gpLoadResult::WrongAnswers() const
{
  std::uint64_t wrong = 0;
  for (const auto& [fault, count] : faults_) {
    wrong += count;
  }
  return wrong;
}

const gpJobGroup&
gpLoadResult::All() const
{
  return groups_.at(0);
}

gpLoadResult
gpEvaluateRun(const gpLoadPlan& aPlan,
              const gpLoadRecords& aRecords,
              const std::string& aLabel)
{
  const gpExperiment& experiment = aPlan.experiment_;
  gpLoadResult result;
  result.experiment_ = experiment.name_;
  result.label_ = aLabel;
  result.seed_ = experiment.seed_;
  result.timeScale_ = experiment.timeScale_;
  result.duration_ = experiment.duration_;
  result.capacity_ = experiment.deployment_.Capacity();
  CountJobs(aPlan, aRecords, result);
  result.load_ =
    experiment.jobsPerSecond_.has_value() ? result.offered_ : experiment.load_;
  result.goodput_ = GoodputOf(aPlan, aRecords);
  result.redirects_ = aRecords.redirects_;
  result.worstLag_ = aRecords.worstLag_;
  EvaluateRefusals(aRecords, result);
  result.groups_ = EvaluateGroups(aPlan, aRecords);
  result.references_ = EvaluateReferences(aPlan, CompleteJobs(aPlan, aRecords));
  result.seconds_ = EvaluateSeconds(aPlan, aRecords);
  return result;
}

void
gpAddMessages(const gpLoadPlan& aPlan,
              const gpLoadRecords& aRecords,
              gpMessageCounts aCounts,
              std::uint64_t aUnread,
              gpLoadResult& aResult)
{
  gpMessageDemand demand;
  std::uint64_t calls = 0;
  for (std::size_t index = 0; index < aPlan.jobs_.size(); ++index) {
    const gpPlannedJob& job = aPlan.jobs_[index];
    const gpJobRecord& record = aRecords.jobs_.at(index);
    const bool isClaimed =
      IsComplete(record) || record.outcome_ == gpLoadOutcome::Failed;
    demand.answeredJobs_ += IsAnswered(record.outcome_) ? 1 : 0;
    demand.claimedJobs_ += isClaimed && job.key_.has_value() ? 1 : 0;
    demand.tasks_ += IsComplete(record) ? job.tasks_.size() : 0;
    calls += record.attempts_;
  }
  aCounts["call"] = calls;
  aCounts["answer"] = calls;
  aResult.messages_ = gpEvaluateMessages(aCounts, demand);
  aResult.messages_.unread_ = aUnread;
}

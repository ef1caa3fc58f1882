#include "gpIdealSchedule.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>

struct gpIdealSchedule::RelaxedJob
{
  double arrival_ = 0.0;
  /// Run time on one processor with the total speed of the deployment.
  double length_ = 0.0;
  /// Shortest run time with no other job on the deployment.
  double isolatedRun_ = 0.0;
};

namespace {

constexpr double kMicrosPerMilli = 1000.0;

/** \class OnTimeJobs
 * \brief A largest set of jobs that one processor completes by their due times.
 *
 * Jobs must be added in the order of arrival, and their due times must have the
 * same order. If the added job would be late, the job whose removal makes the
 * schedule end earliest is removed, which minimizes the number of late jobs.
 */
class OnTimeJobs
{
public:
  /// Adds a job; false if this job or an earlier one had to be removed.
  bool Add(double aArrival, double aLength, double aDue)
  {
    if (End() <= aArrival) {
      // Jobs before an idle span don't affect the schedule of later ones.
      jobs_.clear();
    }
    jobs_.push_back({ aArrival, aLength, std::max(End(), aArrival) });
    if (End() <= aDue) {
      return true;
    }
    Remove(BestToRemove());
    return false;
  }

private:
  struct Job
  {
    double arrival_ = 0.0;
    double length_ = 0.0;
    double start_ = 0.0;

    double End() const { return start_ + length_; }
  };

  double End() const { return jobs_.empty() ? 0.0 : jobs_.back().End(); }

  std::size_t BestToRemove() const
  {
    std::size_t best = jobs_.size() - 1;
    double bestGain = -1.0;
    // How much earlier the jobs after this index can start.
    double slack = jobs_.back().End();
    for (std::size_t index = jobs_.size(); index-- > 0;) {
      const double before = index == 0 ? 0.0 : jobs_[index - 1].End();
      const double gain = std::min(jobs_[index].End() - before, slack);
      if (gain > bestGain) {
        bestGain = gain;
        best = index;
      }
      slack = std::min(slack, jobs_[index].start_ - jobs_[index].arrival_);
    }
    return best;
  }

  void Remove(std::size_t aIndex)
  {
    jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(aIndex));
    for (std::size_t index = aIndex; index < jobs_.size(); ++index) {
      const double before = index == 0 ? 0.0 : jobs_[index - 1].End();
      jobs_[index].start_ = std::max(before, jobs_[index].arrival_);
    }
  }

  std::vector<Job> jobs_;
};

/// Sum of the response times on one processor with preemptive scheduling by
/// shortest remaining work.
double
SumOfShortestFirst(const std::vector<std::pair<double, double>>& aJobs)
{
  struct Waiting
  {
    double remaining_ = 0.0;
    double arrival_ = 0.0;
    bool operator>(const Waiting& aOther) const
    {
      return remaining_ > aOther.remaining_;
    }
  };
  std::priority_queue<Waiting, std::vector<Waiting>, std::greater<>> waiting;
  double now = 0.0;
  double sum = 0.0;
  const auto runUntil = [&](double aTime) {
    while (!waiting.empty() && now < aTime) {
      Waiting job = waiting.top();
      waiting.pop();
      const double span = std::min(job.remaining_, aTime - now);
      now += span;
      job.remaining_ -= span;
      if (now < aTime) {
        sum += now - job.arrival_;
      } else {
        waiting.push(job);
      }
    }
    now = std::max(now, aTime);
  };
  for (const auto& [arrival, length] : aJobs) {
    runUntil(arrival);
    waiting.push({ length, arrival });
  }
  while (!waiting.empty()) {
    now += waiting.top().remaining_;
    sum += now - waiting.top().arrival_;
    waiting.pop();
  }
  return sum;
}

} // namespace

gpIdealSchedule::gpIdealSchedule(const gpDeployment& aDeployment)
{
  gpMicros shortest = gpMicros::max();
  for (const gpTargetSite& target : aDeployment.targets_) {
    fastestSlots_.insert(fastestSlots_.end(), target.slots_, target.speed_);
    shortest = std::min(shortest, aDeployment.EntryDelay(target));
  }
  std::sort(fastestSlots_.begin(), fastestSlots_.end(), std::greater<>());
  std::partial_sum(
    fastestSlots_.begin(), fastestSlots_.end(), fastestSlots_.begin());
  roundTrip_ = 2 * (aDeployment.callerDelay_ + shortest);
}

double
gpIdealSchedule::IsolatedRunMicros(const gpPlannedJob& aJob) const
{
  std::vector<std::int64_t> works;
  works.reserve(aJob.tasks_.size());
  for (const gpPlannedTask& task : aJob.tasks_) {
    works.push_back(task.runTime_.count());
  }
  std::sort(works.begin(), works.end(), std::greater<>());
  double longest = 0.0;
  double sum = 0.0;
  for (std::size_t index = 0; index < works.size(); ++index) {
    sum += static_cast<double>(works[index]) * kMicrosPerMilli;
    const std::size_t slots = std::min(index + 1, fastestSlots_.size());
    longest = std::max(longest, sum / fastestSlots_[slots - 1]);
  }
  return longest;
}

gpMicros
gpIdealSchedule::IsolatedBound(const gpPlannedJob& aJob) const
{
  return gpMicros{ static_cast<std::int64_t>(IsolatedRunMicros(aJob)) } +
         roundTrip_;
}

std::vector<gpIdealSchedule::RelaxedJob>
gpIdealSchedule::Relax(const gpPlannedJobs& aJobs) const
{
  std::vector<RelaxedJob> relaxed;
  relaxed.reserve(aJobs.size());
  for (const gpPlannedJob* job : aJobs) {
    const double work =
      static_cast<double>(job->Work().count()) * kMicrosPerMilli;
    relaxed.push_back({ static_cast<double>(job->arrival_.count()),
                        work / fastestSlots_.back(),
                        IsolatedRunMicros(*job) });
  }
  return relaxed;
}

gpMicros
gpIdealSchedule::Percentile(const std::vector<RelaxedJob>& aJobs,
                            gpPermille aPermille) const
{
  const std::size_t mayBeLate =
    aJobs.size() - gpRankOf(aPermille, aJobs.size());
  const auto isReachable = [&](double aLongest) {
    OnTimeJobs onTime;
    std::size_t late = 0;
    for (const RelaxedJob& job : aJobs) {
      const bool isOnTime =
        job.isolatedRun_ <= aLongest &&
        onTime.Add(job.arrival_, job.length_, job.arrival_ + aLongest);
      late += isOnTime ? 0 : 1;
      if (late > mayBeLate) {
        return false;
      }
    }
    return true;
  };
  double unreachable = 0.0;
  double reachable = 1.0;
  while (!isReachable(reachable)) {
    unreachable = reachable;
    reachable *= 2.0;
  }
  while (reachable - unreachable > 0.5) {
    const double middle = (reachable + unreachable) / 2.0;
    (isReachable(middle) ? reachable : unreachable) = middle;
  }
  return gpMicros{ static_cast<std::int64_t>(unreachable) } + roundTrip_;
}

gpMicros
gpIdealSchedule::PercentileBound(const gpPlannedJobs& aJobs,
                                 gpPermille aPermille) const
{
  return aJobs.empty() ? gpMicros{ 0 } : Percentile(Relax(aJobs), aPermille);
}

gpMicros
gpIdealSchedule::Mean(const std::vector<RelaxedJob>& aJobs) const
{
  double isolatedSum = 0.0;
  std::vector<std::pair<double, double>> jobs;
  jobs.reserve(aJobs.size());
  for (const RelaxedJob& job : aJobs) {
    isolatedSum += job.isolatedRun_;
    jobs.emplace_back(job.arrival_, job.length_);
  }
  const double sum = std::max(isolatedSum, SumOfShortestFirst(jobs));
  const double mean = sum / static_cast<double>(aJobs.size());
  return gpMicros{ static_cast<std::int64_t>(mean) } + roundTrip_;
}

gpMicros
gpIdealSchedule::MeanBound(const gpPlannedJobs& aJobs) const
{
  return aJobs.empty() ? gpMicros{ 0 } : Mean(Relax(aJobs));
}

gpPercentiles
gpIdealSchedule::Bounds(const gpPlannedJobs& aJobs) const
{
  gpPercentiles bounds;
  if (aJobs.empty()) {
    return bounds;
  }
  const std::vector<RelaxedJob> jobs = Relax(aJobs);
  bounds.count_ = jobs.size();
  bounds.mean_ = Mean(jobs);
  bounds.p50_ = Percentile(jobs, kGpMedian);
  bounds.p90_ = Percentile(jobs, kGpP90);
  bounds.p99_ = Percentile(jobs, kGpP99);
  bounds.max_ = Percentile(jobs, kGpMax);
  return bounds;
}

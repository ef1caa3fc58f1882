#include "gpReferenceSchedule.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>
#include <set>
#include <utility>

namespace {

/// Tasks considered in one dispatch; limits the cost of a long queue, which
/// would be quadratic in its length otherwise.
constexpr std::size_t kLookAhead = 1000;
constexpr double kMicrosPerMilli = 1000.0;

/** \class SlotPool
 * \brief The time at which each slot becomes free; copied for planning ahead.
 */
struct SlotPool
{
  /// For each target the times at which its slots become free, ascending.
  std::vector<std::vector<double>> freeAt_;

  void Take(std::size_t aTarget, double aUntil)
  {
    std::vector<double>& slots = freeAt_[aTarget];
    slots.erase(slots.begin());
    slots.insert(std::upper_bound(slots.begin(), slots.end(), aUntil), aUntil);
  }
};

/** \class Simulation
 * \brief One run of a list schedule over the jobs.
 */
class Simulation
{
public:
  Simulation(const gpDeployment& aDeployment,
             const gpPlannedJobs& aJobs,
             gpReferenceOrder aOrder,
             gpReferencePlacement aPlacement)
    : targets_(aDeployment.targets_)
    , order_(aOrder)
    , placement_(aPlacement)
  {
    for (const gpTargetSite& target : targets_) {
      pool_.freeAt_.emplace_back(target.slots_, 0.0);
      const gpMicros delay =
        aDeployment.callerDelay_ + aDeployment.EntryDelay(target);
      roundTrips_.push_back(static_cast<double>(2 * delay.count()));
      freeSlots_ += target.slots_;
    }
    for (const gpPlannedJob* job : aJobs) {
      jobs_.push_back(JobOf(*job));
      if (placement_ == gpReferencePlacement::EarliestFinish) {
        std::vector<double>& works = jobs_.back().works_;
        std::sort(works.begin(), works.end());
      }
    }
  }

  std::vector<gpMicros> Run()
  {
    std::size_t next = 0;
    while (next < jobs_.size() || !waiting_.empty()) {
      const double arrival = next < jobs_.size()
                               ? jobs_[next].arrival_
                               : std::numeric_limits<double>::infinity();
      const double release =
        ends_.empty() ? std::numeric_limits<double>::infinity() : ends_.top();
      now_ = std::min(arrival, release);
      while (!ends_.empty() && ends_.top() <= now_) {
        ends_.pop();
        ++freeSlots_;
      }
      while (next < jobs_.size() && jobs_[next].arrival_ <= now_) {
        waiting_.insert({ KeyOf(next), next });
        ++next;
      }
      Dispatch();
    }
    std::vector<gpMicros> responses;
    for (const Job& job : jobs_) {
      responses.emplace_back(static_cast<std::int64_t>(job.response_) + 1);
    }
    return responses;
  }

private:
  struct Job
  {
    double arrival_ = 0.0;
    /// Work of the waiting tasks in microseconds at speed 1; the last task is
    /// the next to start.
    std::vector<double> works_;
    double remainingWork_ = 0.0;
    double response_ = 0.0;
  };

  static Job JobOf(const gpPlannedJob& aJob)
  {
    Job job;
    job.arrival_ = static_cast<double>(aJob.arrival_.count());
    for (const gpPlannedTask& task : aJob.tasks_) {
      job.works_.push_back(static_cast<double>(task.runTime_.count()) *
                           kMicrosPerMilli);
      job.remainingWork_ += job.works_.back();
    }
    return job;
  }

  double KeyOf(std::size_t aJob) const
  {
    const Job& job = jobs_[aJob];
    switch (order_) {
      case gpReferenceOrder::Arrival:
        return job.arrival_;
      case gpReferenceOrder::FewestTasks:
        return static_cast<double>(job.works_.size());
      case gpReferenceOrder::LeastWork:
        break;
    }
    return job.remainingWork_;
  }

  std::size_t ChooseTarget(const SlotPool& aPool, double aWork) const
  {
    const bool isBlind = placement_ == gpReferencePlacement::FastestFree;
    std::size_t best = 0;
    std::pair<double, double> bestKey{ std::numeric_limits<double>::infinity(),
                                       0.0 };
    for (std::size_t target = 0; target < targets_.size(); ++target) {
      const double start = std::max(now_, aPool.freeAt_[target].front());
      const double speed = targets_[target].speed_;
      const double finish = start + aWork / speed + roundTrips_[target];
      const std::pair<double, double> key{ isBlind ? start : finish, -speed };
      if (key < bestKey) {
        bestKey = key;
        best = target;
      }
    }
    return best;
  }

  void Dispatch()
  {
    SlotPool ahead = pool_;
    std::size_t considered = 0;
    for (auto iterator = waiting_.begin(); iterator != waiting_.end() &&
                                           freeSlots_ > 0 &&
                                           considered < kLookAhead;) {
      const std::size_t index = iterator->second;
      Job& job = jobs_[index];
      const std::size_t tasksBefore = job.works_.size();
      for (std::size_t task = job.works_.size();
           task-- > 0 && freeSlots_ > 0 && considered < kLookAhead;
           ++considered) {
        TryStart(job, task, ahead);
      }
      if (job.works_.size() == tasksBefore) {
        ++iterator;
        continue;
      }
      iterator = waiting_.erase(iterator);
      if (!job.works_.empty()) {
        // The key is not larger than before, so this loop doesn't reach it
        // again.
        waiting_.insert({ KeyOf(index), index });
      }
    }
  }

  /// Starts the task if its best slot is free; otherwise reserves that slot for
  /// it in aAhead.
  void TryStart(Job& aJob, std::size_t aTask, SlotPool& aAhead)
  {
    const double work = aJob.works_[aTask];
    const std::size_t target = ChooseTarget(aAhead, work);
    const double start = std::max(now_, aAhead.freeAt_[target].front());
    const double end = start + work / targets_[target].speed_;
    aAhead.Take(target, end);
    if (start > now_) {
      return;
    }
    pool_.Take(target, end);
    ends_.push(end);
    --freeSlots_;
    aJob.response_ =
      std::max(aJob.response_, end - aJob.arrival_ + roundTrips_[target]);
    aJob.remainingWork_ -= work;
    aJob.works_.erase(aJob.works_.begin() + static_cast<std::ptrdiff_t>(aTask));
  }

  const std::vector<gpTargetSite>& targets_;
  gpReferenceOrder order_;
  gpReferencePlacement placement_;
  std::vector<double> roundTrips_;
  std::vector<Job> jobs_;
  SlotPool pool_;
  std::priority_queue<double, std::vector<double>, std::greater<>> ends_;
  std::set<std::pair<double, std::size_t>> waiting_;
  std::uint64_t freeSlots_ = 0;
  double now_ = 0.0;
};

} // namespace

std::vector<gpMicros>
gpReferenceResponses(const gpDeployment& aDeployment,
                     const gpPlannedJobs& aJobs,
                     gpReferenceOrder aOrder,
                     gpReferencePlacement aPlacement)
{
  return Simulation(aDeployment, aJobs, aOrder, aPlacement).Run();
}

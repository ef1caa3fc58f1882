#include "gpRunDispatcher.h"

#include <array>
#include <map>
#include <utility>

#include "gpLeaseLogEvents.h"
#include "gpLeaseTimeCheck.h"

namespace {

/// Number of waiting tasks for which no target is found before the remaining
/// ones are skipped. Bounds the cost of an event.
constexpr int kMostMisses = 8;

} // namespace

void
gpRunDispatcher::Dispatch(gpTime aNow, gpLeaseEffects& aOut)
{
  DispatchWaiting(
    [&](const gpPlacementNeed& aNeed) {
      return targetTable_.Choose(aNeed, aNow);
    },
    aNow,
    aOut);
}

void
gpRunDispatcher::DispatchAt(gpIncarnation aGuard,
                            gpTime aNow,
                            gpLeaseEffects& aOut)
{
  DispatchWaiting(
    [&](const gpPlacementNeed& aNeed) {
      return targetTable_.Accepts(aGuard, aNeed, aNow) ? std::optional(aGuard)
                                                       : std::nullopt;
    },
    aNow,
    aOut);
}

void
gpRunDispatcher::DispatchWaiting(const Placement& aPlace,
                                 gpTime aNow,
                                 gpLeaseEffects& aOut)
{
  const auto& waiting = jobs_.GetWaiting();
  // Misses are counted apart for tasks that can use any target [1] and for
  // tasks that need a fast one [0]. Tasks of contained queues ([2] and [3]) use
  // other targets.
  constexpr std::size_t kContained = 2;
  std::array<int, 4> misses{};
  std::uint64_t missedJob = 0;
  auto next = waiting.begin();
  while (next != waiting.end()) {
    const auto [anySpeed, dueAt, sequence, index] = *next++;
    gpLeaseRecord& job = *jobs_.Find(sequence);
    const bool isContained = containment_.IsContained(job.queue_.name_);
    int& missed =
      misses.at((anySpeed ? 1 : 0) + (isContained ? kContained : 0));
    if (missed >= kMostMisses) {
      if (containment_.IsInForce()) {
        continue;
      }
      if (anySpeed) {
        return;
      }
      // Tasks that need a fast target found none; the other tasks may still use
      // the slower targets.
      next = waiting.lower_bound({ true, gpTime::min(), 0, 0 });
      continue;
    }
    if (sequence == missedJob) {
      continue;
    }
    const gpPlacementNeed need = NeedOf(job, index, aNow);
    const auto guard = aPlace(need);
    if (guard.has_value()) {
      SendRun(job, index, need, *guard, aNow, aOut);
    } else if (!need.isSuspected_) {
      ++missed;
      missedJob = sequence;
    }
  }
}

void
gpRunDispatcher::DispatchJob(gpLeaseRecord& aJob,
                             gpTime aNow,
                             gpLeaseEffects& aOut)
{
  for (std::size_t index = 0; index < aJob.tasks_.size(); ++index) {
    if (aJob.tasks_[index].phase_ != gpLeaseTaskPhase::Waiting) {
      continue;
    }
    const gpPlacementNeed need = NeedOf(aJob, index, aNow);
    const auto guard = targetTable_.Choose(need, aNow);
    if (guard.has_value()) {
      SendRun(aJob, index, need, *guard, aNow, aOut);
    } else if (!need.isSuspected_) {
      // The other tasks of the job need no less.
      return;
    }
  }
}

void
gpRunDispatcher::LogWait(const gpLeaseRecord& aJob,
                         gpTime aNow,
                         gpLeaseEffects& aOut)
{
  for (std::size_t index = 0; index < aJob.tasks_.size(); ++index) {
    if (aJob.tasks_[index].phase_ == gpLeaseTaskPhase::Waiting) {
      const gpTargetObstacles obstacles =
        targetTable_.FindObstacles(NeedOf(aJob, index, aNow), aNow);
      aOut.Write(gpJobLogEvent(gpEventKind::TaskWaiting,
                               aJob.queue_.service_,
                               aJob.job_.id_,
                               gpObstaclesText(obstacles)));
      return;
    }
  }
}

gpPlacementNeed
gpRunDispatcher::NeedOf(const gpLeaseRecord& aJob,
                        std::size_t aTask,
                        gpTime aNow) const
{
  const gpLeaseTask& task = aJob.tasks_[aTask];
  gpPlacementNeed need =
    gpLeaseAdmission::NeedOf(aJob, aJob.GetStep(task), aNow);
  need.avoid_ = task.avoid_;
  need.isSuspected_ = crashes_.IsSuspected(task.name_);
  need.scope_ = ScopeOf(aJob, task);
  return need;
}

gpPlacementScope
gpRunDispatcher::ScopeOf(const gpLeaseRecord& aJob,
                         const gpLeaseTask& aTask) const
{
  if (crashes_.IsSuspected(aTask.name_)) {
    return gpPlacementScope::SetApart;
  }
  const bool isHarmless = containment_.CrashesAtStart(aJob.queue_.name_) &&
                          crashes_.IsCleared(aTask.name_);
  return isHarmless ? gpPlacementScope::Others
                    : containment_.ScopeOf(aJob.queue_);
}

void
gpRunDispatcher::SendRun(gpLeaseRecord& aJob,
                         std::size_t aTask,
                         const gpPlacementNeed& aNeed,
                         gpIncarnation aGuard,
                         gpTime aNow,
                         gpLeaseEffects& aOut)
{
  jobs_.Send(aJob, aTask, aGuard, orders_.NextNumber(aNow));
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpJobStep& step = aJob.GetStep(task);
  task.stragglerAt_ = gpStragglerTime(step, aNow);
  targetTable_.NoteSent(aGuard, task.run_, aNeed, aNow);
  const gpTargetView& view = *targetTable_.Find(aGuard);
  orders_.Add(view.link_, aJob, task.step_, task.run_);
  aOut.Write(gpTaskLogEvent(
    gpEventKind::TaskSent, aJob, task.run_, aGuard, gpTargetText(view, aNow)));
}

void
gpRunDispatcher::StopRuns(const gpLeaseRecord& aJob, gpLeaseEffects& aOut)
{
  std::map<gpLinkId, gpRunCancel> cancels;
  for (const gpLeaseTask& task : aJob.tasks_) {
    const gpTargetView* view = targetTable_.Find(task.guard_);
    if (task.phase_ == gpLeaseTaskPhase::Sent && view != nullptr) {
      cancels[view->link_].runs_.push_back(task.run_);
    }
  }
  for (auto& [link, cancel] : cancels) {
    aOut.Send(link, std::move(cancel));
  }
}

void
gpRunDispatcher::StopStraggler(gpLeaseRecord& aJob,
                               std::size_t aTask,
                               gpLeaseEffects& aOut)
{
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpTargetView* view = targetTable_.Find(task.guard_);
  if (view == nullptr) {
    return;
  }
  task.stragglerAt_ = gpTime::max();
  aOut.Write(gpTaskLogEvent(
    gpEventKind::TaskCancelled, aJob, task.run_, task.guard_, "overdue"));
  aOut.Send(view->link_, gpRunCancel{ { task.run_ } });
}

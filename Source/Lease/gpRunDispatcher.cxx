#include "gpRunDispatcher.h"

#include <array>
#include <map>
#include <utility>

#include "gpLeaseLines.h"
#include "gpLeaseOverdue.h"

namespace {

/// Waiting tasks without room that are looked at before the others wait too.
constexpr int kMostMisses = 8;

} // namespace

void
gpRunDispatcher::Dispatch(gpTime aNow, gpLeaseEffects& aOut)
{
  // One count for tasks that need a fast target, one for the others.
  std::array<int, 2> misses{};
  std::uint64_t missedJob = 0;
  auto next = jobs_.GetWaiting().begin();
  while (next != jobs_.GetWaiting().end()) {
    const auto [hasChoice, dueAt, sequence, index] = *next++;
    int& missed = misses.at(hasChoice ? 1 : 0);
    if (sequence == missedJob || missed >= kMostMisses) {
      continue;
    }
    gpLeaseRecord& job = *jobs_.Find(sequence);
    const gpLeaseTask& task = job.tasks_[index];
    gpPlacementNeed need =
      gpLeaseAdmission::NeedOf(job, job.GetStep(task), aNow);
    need.avoid_ = task.avoid_;
    const auto guard = board_.Choose(need, aNow);
    if (guard.has_value()) {
      SendRun(job, index, *guard, aNow, aOut);
    } else {
      ++missed;
      missedJob = sequence;
    }
  }
}

void
gpRunDispatcher::SendRun(gpLeaseRecord& aJob,
                         std::size_t aTask,
                         gpIncarnation aGuard,
                         gpTime aNow,
                         gpLeaseEffects& aOut)
{
  jobs_.Send(aJob, aTask, aGuard, orders_.NextNumber(aNow));
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpJobStep& step = aJob.GetStep(task);
  task.recallAt_ = gpRecallTime(step, aNow);
  board_.NoteSent(aGuard, task.run_, step.needs_, step.estimate_, aNow);
  const gpTargetView& view = *board_.Find(aGuard);
  orders_.Add(view.link_, aJob.job_, task.step_, task.run_);
  aOut.Write(gpTaskLine(
    gpEventKind::TaskSent, aJob, task.run_, aGuard, gpTargetText(view, aNow)));
}

void
gpRunDispatcher::StopRuns(const gpLeaseRecord& aJob, gpLeaseEffects& aOut)
{
  std::map<gpLinkId, gpRunCancel> cancels;
  for (const gpLeaseTask& task : aJob.tasks_) {
    const gpTargetView* view = board_.Find(task.guard_);
    if (task.phase_ == gpLeaseTaskPhase::Sent && view != nullptr) {
      cancels[view->link_].runs_.push_back(task.run_);
    }
  }
  for (auto& [link, cancel] : cancels) {
    aOut.Send(link, std::move(cancel));
  }
}

void
gpRunDispatcher::Recall(gpLeaseRecord& aJob,
                        std::size_t aTask,
                        gpLeaseEffects& aOut)
{
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpTargetView* view = board_.Find(task.guard_);
  if (view == nullptr) {
    return;
  }
  task.recallAt_ = gpTime::max();
  aOut.Write(gpTaskLine(
    gpEventKind::TaskCancelled, aJob, task.run_, task.guard_, "overdue"));
  aOut.Send(view->link_, gpRunCancel{ { task.run_ } });
}

#include "gpLeaseJobTable.h"

#include <algorithm>

namespace {

/// The name of a task as it's sent to targets: job ID, occurrence (always 0),
/// step and index, separated by dots.
std::string
TaskName(const std::string& aJob, std::uint32_t aStep, std::uint32_t aIndex)
{
  return aJob + ".0." + std::to_string(aStep) + "." + std::to_string(aIndex);
}

} // namespace

gpMillis
gpLeaseRecord::GetCriticalPath() const
{
  std::vector<gpMillis> ends;
  gpMillis longest(0);
  for (const gpJobStep& step : job_.steps_) {
    gpMillis begin(0);
    for (const std::uint32_t earlier : step.dependsOn_) {
      begin = std::max(begin, ends.at(earlier));
    }
    ends.push_back(begin + step.estimate_);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

gpLeaseRecord&
gpLeaseJobTable::Add(gpLeaseRecord aRecord)
{
  aRecord.sequence_ = ++lastSequence_;
  const auto& steps = aRecord.job_.steps_;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    for (std::uint32_t index = 0; index < steps[step].count_; ++index) {
      gpLeaseTask task;
      task.step_ = step;
      task.name_ = TaskName(aRecord.job_.id_, step, index);
      aRecord.tasks_.push_back(std::move(task));
    }
  }
  taskCount_ += aRecord.tasks_.size();
  byRequest_.emplace(aRecord.request_, aRecord.sequence_);
  byId_.insert_or_assign(aRecord.job_.id_, aRecord.sequence_);
  gpLeaseRecord& job =
    jobs_.emplace(aRecord.sequence_, std::move(aRecord)).first->second;
  Unblock(job);
  return job;
}

void
gpLeaseJobTable::Remove(std::uint64_t aSequence)
{
  const auto found = jobs_.find(aSequence);
  if (found == jobs_.end()) {
    return;
  }
  const gpLeaseRecord& job = found->second;
  for (std::size_t task = 0; task < job.tasks_.size(); ++task) {
    waiting_.erase(KeyOf(job, task));
    byRun_.erase(job.tasks_[task].run_);
  }
  taskCount_ -= job.tasks_.size();
  byRequest_.erase(job.request_);
  const auto named = byId_.find(job.job_.id_);
  if (named != byId_.end() && named->second == aSequence) {
    byId_.erase(named);
  }
  jobs_.erase(found);
}

void
gpLeaseJobTable::ReplaceRequest(gpLeaseRecord& aJob, gpRequestId aRequest)
{
  byRequest_.erase(aJob.request_);
  aJob.request_ = aRequest;
  byRequest_.emplace(aRequest, aJob.sequence_);
}

gpLeaseRecord*
gpLeaseJobTable::Find(std::uint64_t aSequence)
{
  const auto found = jobs_.find(aSequence);
  return found == jobs_.end() ? nullptr : &found->second;
}

gpLeaseRecord*
gpLeaseJobTable::FindByRequest(gpRequestId aRequest)
{
  const auto found = byRequest_.find(aRequest);
  return found == byRequest_.end() ? nullptr : Find(found->second);
}

gpLeaseRecord*
gpLeaseJobTable::FindById(const std::string& aId)
{
  const auto found = byId_.find(aId);
  return found == byId_.end() ? nullptr : Find(found->second);
}

std::pair<gpLeaseRecord*, std::size_t>
gpLeaseJobTable::FindRun(const gpRunId& aRun)
{
  const auto found = byRun_.find(aRun);
  if (found == byRun_.end()) {
    return { nullptr, 0 };
  }
  return { Find(found->second.first), found->second.second };
}

std::vector<std::pair<gpLeaseRecord*, std::size_t>>
gpLeaseJobTable::ListAt(gpIncarnation aGuard, gpLeaseTaskPhase aPhase)
{
  std::vector<std::pair<gpLeaseRecord*, std::size_t>> list;
  for (auto& [sequence, job] : jobs_) {
    for (std::size_t index = 0; index < job.tasks_.size(); ++index) {
      const gpLeaseTask& task = job.tasks_[index];
      if (task.phase_ == aPhase && task.guard_ == aGuard) {
        list.emplace_back(&job, index);
      }
    }
  }
  return list;
}

void
gpLeaseJobTable::SetWaiting(gpLeaseRecord& aJob, std::size_t aTask)
{
  aJob.tasks_[aTask].phase_ = gpLeaseTaskPhase::Waiting;
  waiting_.insert(KeyOf(aJob, aTask));
}

void
gpLeaseJobTable::Send(gpLeaseRecord& aJob,
                      std::size_t aTask,
                      gpIncarnation aGuard,
                      std::uint64_t aRunNumber)
{
  waiting_.erase(KeyOf(aJob, aTask));
  gpLeaseTask& task = aJob.tasks_[aTask];
  task.phase_ = gpLeaseTaskPhase::Sent;
  task.guard_ = aGuard;
  task.run_ = gpRunId{ task.name_, aRunNumber };
  byRun_.emplace(task.run_, std::make_pair(aJob.sequence_, aTask));
  ++aJob.runsSent_;
}

void
gpLeaseJobTable::ChangePhase(gpLeaseRecord& aJob,
                             std::size_t aTask,
                             gpLeaseTaskPhase aPhase)
{
  gpLeaseTask& task = aJob.tasks_[aTask];
  if (aPhase != gpLeaseTaskPhase::Lost) {
    byRun_.erase(task.run_);
  }
  task.phase_ = aPhase;
  if (aPhase == gpLeaseTaskPhase::Waiting) {
    SetWaiting(aJob, aTask);
  }
}

void
gpLeaseJobTable::Unblock(gpLeaseRecord& aJob)
{
  std::vector<bool> isDone(aJob.job_.steps_.size(), true);
  for (const gpLeaseTask& task : aJob.tasks_) {
    if (task.phase_ != gpLeaseTaskPhase::Done) {
      isDone[task.step_] = false;
    }
  }
  for (std::size_t index = 0; index < aJob.tasks_.size(); ++index) {
    const gpLeaseTask& task = aJob.tasks_[index];
    const auto& earlier = aJob.GetStep(task).dependsOn_;
    const bool isFree =
      std::all_of(earlier.begin(), earlier.end(), [&](std::uint32_t aStep) {
        return isDone[aStep];
      });
    if (task.phase_ == gpLeaseTaskPhase::Blocked && isFree) {
      SetWaiting(aJob, index);
    }
  }
}

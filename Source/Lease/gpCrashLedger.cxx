#include "gpCrashLedger.h"

#include <algorithm>

#include "gpLeaseJob.h"

namespace {

/// A task is given up after it was suspected of this many crashes. The first
/// may have had another cause: other runs started at the same time, or the
/// target would have failed without it.
constexpr std::size_t kMostSuspected = 2;
/// A task is given up after this many crashes, even if it had always run for
/// long. The platform allows two more starts, so two crashes may be missed.
constexpr std::size_t kMostCrashes = 3;
/// Two crashes under one task are unlikely to be chance, so that it is
/// suspected even if it had always run for long.
constexpr std::size_t kMostCleared = 1;
/// The platform allows a job to be shown as failed after two crashes under a
/// task.
constexpr std::size_t kLeastCertain = 2;
/// How long a crash is remembered. Callers submit a job again within seconds.
constexpr gpMillis kKeepTime{ 120000 };
/// Limits the memory when many targets crash.
constexpr std::size_t kMostJobs = 20000;

} // namespace

bool
gpCrashLedger::LostRuns::IsSuspected() const
{
  return !suspected_.empty() || all_.size() > kMostCleared;
}

bool
gpCrashLedger::LostRuns::IsWithheld() const
{
  return suspected_.size() >= kMostSuspected || all_.size() >= kMostCrashes;
}

bool
gpCrashLedger::IsKnown(const gpTargetCrash& aCrash) const
{
  const auto found = crashes_.find(std::pair(aCrash.target_, aCrash.number_));
  return found != crashes_.end() &&
         (found->second.state_ != gpCrashState::Suspected ||
          aCrash.state_ == gpCrashState::Suspected);
}

gpCrashNovelty
gpCrashLedger::Add(const gpTargetCrash& aCrash, gpTime aNow)
{
  DropOld(aNow);
  if (IsKnown(aCrash)) {
    return gpCrashNovelty::Known;
  }
  const auto [found, isNew] = crashes_.try_emplace(
    std::pair(aCrash.target_, aCrash.number_), Crash{ aNow, aCrash.state_ });
  found->second.state_ = aCrash.state_;
  if (aCrash.state_ == gpCrashState::Refuted) {
    Forget(aCrash);
    return gpCrashNovelty::Settled;
  }
  Count(aCrash, aNow);
  return isNew ? gpCrashNovelty::New : gpCrashNovelty::Settled;
}

void
gpCrashLedger::Count(const gpTargetCrash& aCrash, gpTime aNow)
{
  for (const gpLostRun& run : aCrash.runs_) {
    Job& job = jobs_[gpJobOfTask(run.run_.task_)];
    job.crashedAt_ = aNow;
    LostRuns& lost = job.tasks_[run.run_.task_];
    lost.all_.insert(run.run_.number_);
    if (run.suspected_) {
      lost.suspected_.insert(run.run_.number_);
    }
    if (aCrash.state_ == gpCrashState::Confirmed && run.started_) {
      lost.certain_.insert(run.run_.number_);
    }
  }
}

void
gpCrashLedger::Forget(const gpTargetCrash& aCrash)
{
  for (const gpLostRun& run : aCrash.runs_) {
    const auto job = jobs_.find(gpJobOfTask(run.run_.task_));
    if (job == jobs_.end()) {
      continue;
    }
    LostRuns& lost = job->second.tasks_[run.run_.task_];
    if (!lost.certain_.contains(run.run_.number_)) {
      lost.all_.erase(run.run_.number_);
      lost.suspected_.erase(run.run_.number_);
    }
  }
}

void
gpCrashLedger::DropOld(gpTime aNow)
{
  std::erase_if(crashes_, [aNow](const auto& aCrash) {
    return aNow - aCrash.second.notedAt_ > kKeepTime;
  });
  std::erase_if(jobs_, [aNow](const auto& aJob) {
    return aNow - aJob.second.crashedAt_ > kKeepTime;
  });
  while (jobs_.size() > kMostJobs) {
    jobs_.erase(std::min_element(
      jobs_.begin(), jobs_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.crashedAt_ < aRight.second.crashedAt_;
      }));
  }
}

const gpCrashLedger::LostRuns*
gpCrashLedger::Find(const std::string& aTask) const
{
  const auto job = jobs_.empty() ? jobs_.end() : jobs_.find(gpJobOfTask(aTask));
  if (job == jobs_.end()) {
    return nullptr;
  }
  const auto task = job->second.tasks_.find(aTask);
  return task == job->second.tasks_.end() ? nullptr : &task->second;
}

bool
gpCrashLedger::IsSuspected(const std::string& aTask) const
{
  const LostRuns* lost = Find(aTask);
  return lost != nullptr && lost->IsSuspected();
}

bool
gpCrashLedger::IsCleared(const std::string& aTask) const
{
  const LostRuns* lost = Find(aTask);
  return lost != nullptr && !lost->IsSuspected();
}

bool
gpCrashLedger::IsDeadly(const std::string& aTask) const
{
  const LostRuns* lost = Find(aTask);
  return lost != nullptr && lost->suspected_.size() >= kMostSuspected;
}

bool
gpCrashLedger::IsWithheld(const std::string& aJob) const
{
  const auto job = jobs_.find(aJob);
  return job != jobs_.end() && std::any_of(job->second.tasks_.begin(),
                                           job->second.tasks_.end(),
                                           [](const auto& aTask) {
                                             return aTask.second.IsWithheld();
                                           });
}

bool
gpCrashLedger::IsGivenUp(const std::string& aJob) const
{
  const auto job = jobs_.find(aJob);
  return job != jobs_.end() &&
         std::any_of(job->second.tasks_.begin(),
                     job->second.tasks_.end(),
                     [](const auto& aTask) {
                       return aTask.second.IsWithheld() &&
                              aTask.second.certain_.size() >= kLeastCertain;
                     });
}

#include "gpCrashLedger.h"

#include <algorithm>

#include "gpLeaseJob.h"

namespace {

/// A task is given up after it was suspected of this many crashes. The first
/// may have had another cause: other runs started at the same time, or the
/// target would have failed without it.
constexpr std::uint32_t kMostSuspected = 2;
/// A task is given up after this many crashes, even if it had always run for
/// long. The platform allows two more starts after the third crash.
constexpr std::uint32_t kMostCrashes = 4;
/// How long a crash is remembered. Callers submit a job again within seconds.
constexpr gpMillis kKeepTime{ 120000 };
/// Limits the memory when many targets crash.
constexpr std::size_t kMostJobs = 20000;

} // namespace

bool
gpCrashLedger::Add(const gpTargetCrash& aCrash, gpTime aNow)
{
  const bool isNew =
    counted_.emplace(std::pair(aCrash.target_, aCrash.number_), aNow).second;
  if (!isNew) {
    return false;
  }
  DropOld(aNow);
  for (const gpLostRun& run : aCrash.runs_) {
    Job& job = jobs_[gpJobOfTask(run.run_.task_)];
    job.crashedAt_ = aNow;
    Count& count = job.tasks_[run.run_.task_];
    ++count.crashes_;
    count.suspected_ += run.suspected_ ? 1 : 0;
  }
  return true;
}

void
gpCrashLedger::DropOld(gpTime aNow)
{
  std::erase_if(counted_, [aNow](const auto& aCrash) {
    return aNow - aCrash.second > kKeepTime;
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

const gpCrashLedger::Count*
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
  const Count* count = Find(aTask);
  return count != nullptr && count->suspected_ > 0;
}

bool
gpCrashLedger::IsCleared(const std::string& aTask) const
{
  const Count* count = Find(aTask);
  return count != nullptr && count->suspected_ == 0;
}

bool
gpCrashLedger::IsDeadly(const std::string& aTask) const
{
  const Count* count = Find(aTask);
  return count != nullptr && count->suspected_ >= kMostSuspected;
}

bool
gpCrashLedger::IsGivenUp(const std::string& aJob) const
{
  const auto job = jobs_.find(aJob);
  if (job == jobs_.end()) {
    return false;
  }
  const auto& tasks = job->second.tasks_;
  return std::any_of(tasks.begin(), tasks.end(), [](const auto& aTask) {
    const Count& count = aTask.second;
    return count.suspected_ >= kMostSuspected || count.crashes_ >= kMostCrashes;
  });
}

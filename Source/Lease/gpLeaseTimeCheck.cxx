#include "gpLeaseTimeCheck.h"

#include "gpLeaseTimings.h"
#include "gpScaled.h"

namespace {

/// A guard whose link broke is usually linked again within this time, if it's
/// reachable.
constexpr gpMillis kRelinkTime{ 300 };
/// Lower bound of a task's run time, as a part of its estimate.
constexpr double kLeastPartOfEstimate = 0.3;
/// A run is a straggler, which is stopped and placed elsewhere, if it takes
/// longer than its estimate multiplied by this factor, plus kStragglerPause.
/// The factor is large as estimates are off by up to a half, and the speeds of
/// targets differ by a factor of over two.
constexpr double kStragglerFactor = 4.0;
constexpr gpMillis kStragglerPause{ 150 };

/// Whether a task that starts at aStart can't end before the job's deadline.
bool
EndsTooLate(const gpLeaseRecord& aJob, const gpLeaseTask& aTask, gpTime aStart)
{
  const auto least =
    gpScaled(aJob.GetStep(aTask).estimate_, kLeastPartOfEstimate);
  return aStart + least >= aJob.deadline_;
}

/// Decides about a task whose guard was lost and may be linked again.
void
CheckLost(const gpLeaseRecord& aJob,
          std::size_t aTask,
          gpTime aNow,
          gpLeaseTimeCheck& aOut)
{
  const gpLeaseTask& task = aJob.tasks_[aTask];
  const gpTime freeAt = task.lostAt_ + kLinkLossBound;
  if (aNow >= freeAt) {
    aOut.endedTasks_.push_back(aTask);
  } else if (aNow >= task.lostAt_ + kRelinkTime &&
             EndsTooLate(aJob, task, freeAt)) {
    aOut.verdict_ = gpLeaseVerdict::TargetLost;
  }
}

} // namespace

gpTime
gpStragglerTime(const gpJobStep& aStep, gpTime aNow)
{
  return aNow + kStragglerPause + gpScaled(aStep.estimate_, kStragglerFactor);
}

gpLeaseTimeCheck
gpCheckLeaseTimes(const gpLeaseRecord& aJob, gpTime aNow)
{
  gpLeaseTimeCheck found;
  if (aJob.runsSent_ == 0 && aNow >= aJob.startBy_) {
    found.verdict_ = gpLeaseVerdict::NotStarted;
    return found;
  }
  if (aNow >= aJob.deadline_) {
    found.verdict_ = gpLeaseVerdict::TooLate;
    return found;
  }
  for (std::size_t index = 0; index < aJob.tasks_.size(); ++index) {
    const gpLeaseTask& task = aJob.tasks_[index];
    if (task.phase_ == gpLeaseTaskPhase::Waiting &&
        EndsTooLate(aJob, task, aNow)) {
      found.verdict_ = gpLeaseVerdict::TooLate;
    } else if (task.phase_ == gpLeaseTaskPhase::Lost) {
      CheckLost(aJob, index, aNow, found);
    } else if (task.phase_ == gpLeaseTaskPhase::Sent &&
               aNow >= task.stragglerAt_) {
      found.stragglers_.push_back(index);
    }
    if (found.verdict_ != gpLeaseVerdict::GoOn) {
      break;
    }
  }
  return found;
}

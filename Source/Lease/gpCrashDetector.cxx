#include "gpCrashDetector.h"

bool
gpCrashDetector::NoteReply(gpOrderReply aReply, gpTime aNow)
{
  switch (aReply) {
    case gpOrderReply::Silent:
    case gpOrderReply::OtherTarget:
      return false;
    case gpOrderReply::Broken:
      brokenAt_ = brokenAt_.value_or(aNow);
      return false;
    case gpOrderReply::NotSent:
      // Before its first answer, the target may not be listening yet.
      return IsUnreported();
    default:
      answeredAt_ = aNow;
      brokenAt_.reset();
      givenUp_.clear();
      return false;
  }
}

void
gpCrashDetector::NoteGivenUp(const gpRunTable& aRuns)
{
  for (const auto& [id, run] : aRuns.GetAll()) {
    givenUp_.push_back(run);
  }
}

bool
gpCrashDetector::IsSuspected(const gpGuardRun& aRun) const
{
  if (brokenAt_.has_value()) {
    return aRun.orderedAt_ >= *brokenAt_ - kSuspectedAge &&
           aRun.orderedAt_ <= *brokenAt_;
  }
  // The time of the crash is only known to be after the last answer.
  return aRun.orderedAt_ >= *answeredAt_ - kSuspectedAge;
}

std::vector<gpLostRun>
gpCrashDetector::TakeLostRuns(const gpRunTable& aRuns)
{
  std::vector<gpLostRun> lost;
  for (const gpGuardRun& run : givenUp_) {
    lost.push_back({ run.id_, IsSuspected(run) });
  }
  for (const auto& [id, run] : aRuns.GetAll()) {
    lost.push_back({ id, IsSuspected(run) });
  }
  Restart();
  return lost;
}

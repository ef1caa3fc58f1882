#include "gpCrashDetector.h"

#include <cmath>

void
gpCrashDetector::NoteReply(gpOrderReply aReply, gpTime aNow)
{
  switch (aReply) {
    case gpOrderReply::Silent:
    case gpOrderReply::OtherTarget:
      return;
    case gpOrderReply::Broken:
      brokenAt_ = brokenAt_.value_or(aNow);
      return;
    case gpOrderReply::NotSent:
      // Before its first answer, the target may not be listening yet.
      if (IsUnreported()) {
        refusedAt_ = refusedAt_.value_or(aNow);
      }
      return;
    default:
      Restart();
      answeredAt_ = aNow;
  }
}

void
gpCrashDetector::Restart()
{
  answeredAt_.reset();
  brokenAt_.reset();
  refusedAt_.reset();
  givenUp_.clear();
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
  const gpTime crashedAt = GetCrashTime();
  if (aRun.orderedAt_ < crashedAt - kCrashAgeWidth) {
    return false;
  }
  // Without a refused call, the crash is only known to be after the last
  // answer.
  return aRun.orderedAt_ <= crashedAt || !refusedAt_.has_value();
}

std::optional<gpMillis>
gpCrashDetector::AgeOf(const gpGuardRun& aRun) const
{
  const gpTime crashedAt = GetCrashTime();
  if (!refusedAt_.has_value() || aRun.orderedAt_ > crashedAt) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<gpMillis>(crashedAt - aRun.orderedAt_);
}

gpLostRun
gpCrashDetector::Describe(const gpGuardRun& aRun) const
{
  return {
    aRun.id_, aRun.queue_, IsSuspected(aRun), aRun.started_, AgeOf(aRun)
  };
}

std::vector<gpLostRun>
gpCrashDetector::TakeLostRuns(const gpRunTable& aRuns)
{
  std::vector<gpLostRun> lost;
  for (const gpGuardRun& run : givenUp_) {
    lost.push_back(Describe(run));
  }
  for (const auto& [id, run] : aRuns.GetAll()) {
    lost.push_back(Describe(run));
  }
  Restart();
  return lost;
}

std::vector<gpQueueActivity>
gpCrashDetector::ListQueues() const
{
  constexpr double kPermille = 1000;
  std::vector<gpQueueActivity> queues;
  if (!refusedAt_.has_value()) {
    return queues;
  }
  for (const auto& [queue, rate] : rates_) {
    const double chance = rate.ChanceOfStart(kCrashAgeWidth, GetCrashTime());
    const auto permille =
      static_cast<std::uint32_t>(std::lround(chance * kPermille));
    if (permille > 0 && !queue.value_.empty()) {
      queues.push_back({ queue, permille });
    }
  }
  return queues;
}

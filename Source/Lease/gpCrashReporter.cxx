#include "gpCrashReporter.h"

#include <utility>

#include "gpLeaseLogEvents.h"

std::optional<std::string>
gpCrashReporter::GetCrashableId() const
{
  return target_.IsKnown() && !target_.IsLeaving()
           ? std::optional(target_.Get().id_)
           : std::nullopt;
}

void
gpCrashReporter::Check(gpTime aNow, gpLeaseEffects& aOut)
{
  if (aNow < detector_.GetReportTime()) {
    return;
  }
  if (const auto target = GetCrashableId()) {
    Report(*target, gpCrashState::Suspected, aNow, aOut);
    suspectedAt_ = aNow;
  } else {
    detector_.Restart();
  }
}

void
gpCrashReporter::NoteRestart(const std::optional<std::string>& aEarlier,
                             gpTime aNow,
                             gpLeaseEffects& aOut)
{
  if (aEarlier.has_value() && detector_.IsUnreported()) {
    Report(*aEarlier, gpCrashState::Confirmed, aNow, aOut);
  } else if (aEarlier.has_value()) {
    // The target has not answered since the crash was reported.
    crashes_.Settle(*aEarlier, lastCrash_, gpCrashState::Confirmed);
  }
  suspectedAt_.reset();
  detector_.Restart();
}

void
gpCrashReporter::NoteAlive(gpTime aSentAt, gpLeaseEffects& aOut)
{
  if (!suspectedAt_.has_value() || aSentAt < *suspectedAt_) {
    return;
  }
  suspectedAt_.reset();
  const std::string& target = target_.Get().id_;
  crashes_.Settle(target, lastCrash_, gpCrashState::Refuted);
  aOut.Write(gpProcessLogEvent(gpEventKind::TargetAnnounced,
                               target + " answers again, crash " +
                                 std::to_string(lastCrash_) + " was none"));
}

void
gpCrashReporter::Report(const std::string& aTarget,
                        gpCrashState aState,
                        gpTime aNow,
                        gpLeaseEffects& aOut)
{
  const gpMicros ago = aNow - detector_.GetCrashTime();
  gpTargetCrash crash;
  crash.target_ = aTarget;
  crash.service_ = service_;
  crash.number_ = ++lastCrash_;
  crash.state_ = aState;
  crash.queues_ = detector_.ListQueues();
  crash.runs_ = detector_.TakeLostRuns(runs_);
  aOut.Write(
    gpProcessLogEvent(gpEventKind::TargetCrashed, gpCrashText(crash, ago)));
  for (const gpLostRun& run : crash.runs_) {
    if (run.suspected_) {
      aOut.Write(gpRunLogEvent(
        gpEventKind::TaskSuspected, service_, run.run_, crash.target_));
    }
  }
  crashes_.Add(std::move(crash), aNow);
}

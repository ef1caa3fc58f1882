#include "gpRunStopper.h"

#include <utility>

#include "gpLeaseLines.h"

void
gpRunStopper::Stop(gpGuardRun& aRun, gpTime aNow, gpLeaseEffects& aOut)
{
  if (aRun.phase_ == gpRunPhase::Stopping) {
    return;
  }
  aRun.phase_ = gpRunPhase::Stopping;
  aRun.settledAt_.reset();
  Write(aRun.id_, "", aOut);
  Send(aRun.id_, aNow, aOut);
}

void
gpRunStopper::StopAll(gpTime aNow, gpLeaseEffects& aOut)
{
  for (const auto& [id, run] : runs_.GetAll()) {
    Stop(*runs_.Find(id), aNow, aOut);
  }
}

void
gpRunStopper::StopOf(gpIncarnation aOwner, gpTime aNow, gpLeaseEffects& aOut)
{
  for (const gpRunId& id : runs_.ListOf(aOwner)) {
    Stop(*runs_.Find(id), aNow, aOut);
  }
}

void
gpRunStopper::Repeat(gpMillis aPause, gpTime aNow, gpLeaseEffects& aOut)
{
  for (const gpRunId& run : stops_.ListDue(aNow, aPause)) {
    Send(run, aNow, aOut);
  }
}

void
gpRunStopper::StopStrangers(const std::vector<gpRunId>& aRunning,
                            gpTime aNow,
                            gpLeaseEffects& aOut)
{
  const auto strangers = strangers_.Show(aRunning, runs_);
  for (const gpRunId& id : strangers.appeared_) {
    Write(id, "not started by this guard", aOut);
    Send(id, aNow, aOut);
  }
  for (const gpRunId& id : strangers.gone_) {
    stops_.Forget(id);
  }
}

void
gpRunStopper::NoteReply(const gpStopReplied& aReply, gpTime aNow)
{
  if (aReply.reply_ != gpOrderReply::Accepted) {
    stops_.NoteFailed(aReply.run_);
    return;
  }
  stops_.Forget(aReply.run_);
  if (gpGuardRun* run = runs_.Find(aReply.run_)) {
    run->settledAt_ = aNow;
  }
}

void
gpRunStopper::Clear()
{
  strangers_.Clear();
  stops_.Clear();
}

void
gpRunStopper::Send(const gpRunId& aRun, gpTime aNow, gpLeaseEffects& aOut)
{
  if (target_.IsKnown()) {
    stops_.NoteSent(aRun, aNow);
    aOut.Add(gpStopRun{ target_.Get().id_, aRun, target_.GetFence() });
  }
}

void
gpRunStopper::Write(const gpRunId& aRun,
                    std::string aDetail,
                    gpLeaseEffects& aOut)
{
  aOut.Write(
    gpRunLine(gpEventKind::TaskCancelled, service_, aRun, std::move(aDetail)));
}

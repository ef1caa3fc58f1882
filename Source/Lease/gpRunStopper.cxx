#include "gpRunStopper.h"

#include <utility>

#include "gpLeaseLogEvents.h"

namespace {

/// The patience for the runs of a lost link; see kStopPatience.
constexpr gpMillis kNoPatience{ 0 };

} // namespace

void
gpRunStopper::StopWithin(gpGuardRun& aRun,
                         gpMillis aPatience,
                         gpTime aNow,
                         gpLeaseEffects& aOut)
{
  if (aRun.phase_ == gpRunPhase::Stopping) {
    stops_.Hurry(aRun.id_, aNow + aPatience);
    return;
  }
  aRun.phase_ = gpRunPhase::Stopping;
  aRun.visibleSince_.reset();
  Write(aRun.id_, "", aOut);
  Send(aRun.id_, aPatience, aNow, aOut);
}

void
gpRunStopper::StopAll(gpTime aNow, gpLeaseEffects& aOut)
{
  for (const auto& [id, run] : runs_.GetAll()) {
    Stop(*runs_.Find(id), aNow, aOut);
  }
}

void
gpRunStopper::StopUnlinkedRuns(gpTime aNow, gpLeaseEffects& aOut)
{
  for (const auto& [id, run] : runs_.GetAll()) {
    StopWithin(*runs_.Find(id), kNoPatience, aNow, aOut);
  }
}

void
gpRunStopper::StopRunsOf(gpIncarnation aOwner,
                         gpTime aNow,
                         gpLeaseEffects& aOut)
{
  for (const gpRunId& id : runs_.ListRunsOf(aOwner)) {
    StopWithin(*runs_.Find(id), kNoPatience, aNow, aOut);
  }
}

void
gpRunStopper::Repeat(gpMillis aPause, gpTime aNow, gpLeaseEffects& aOut)
{
  for (const gpRunId& run : stops_.ListDue(aNow, aPause)) {
    Send(run, kStopPatience, aNow, aOut);
  }
}

void
gpRunStopper::StopUnknownRuns(const std::vector<gpRunId>& aRunning,
                              gpTime aNow,
                              gpLeaseEffects& aOut)
{
  const auto changes = unknownRuns_.Update(aRunning, runs_);
  for (const gpRunId& id : changes.appeared_) {
    Write(id, "not started by this guard", aOut);
    Send(id, kStopPatience, aNow, aOut);
  }
  for (const gpRunId& id : changes.disappeared_) {
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
    run->visibleSince_ = aNow;
  }
}

void
gpRunStopper::Clear()
{
  unknownRuns_.Clear();
  stops_.Clear();
}

void
gpRunStopper::Send(const gpRunId& aRun,
                   gpMillis aPatience,
                   gpTime aNow,
                   gpLeaseEffects& aOut)
{
  if (!target_.IsKnown()) {
    return;
  }
  if (!stops_.MaySend()) {
    stops_.NoteNotSent(aRun, aNow + aPatience);
    return;
  }
  stops_.NoteSent(aRun, aNow, aNow + aPatience);
  aOut.Add(gpStopRun{ target_.Get().id_, aRun, target_.GetFence() });
}

void
gpRunStopper::Write(const gpRunId& aRun,
                    std::string aDetail,
                    gpLeaseEffects& aOut)
{
  aOut.Write(gpRunLogEvent(
    gpEventKind::TaskCancelled, service_, aRun, std::move(aDetail)));
}

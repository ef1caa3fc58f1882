#include "gpLeaseGuardReducer.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "gpLeaseLogEvents.h"
#include "gpLeaseTimings.h"

namespace {

/// How long the target may delay its answer to a poll until a run ends. Short
/// enough that several polls may be lost before the lease expires.
constexpr gpMillis kPollWait{ 60 };
/// The same for a target without runs. A poll is always in flight, so that the
/// end of the target breaks the connection and is noticed at once. The next
/// poll then shows the restarted target the higher fence before delayed orders
/// for the earlier incarnation can reach it.
constexpr gpMillis kIdlePollWait{ 250 };
/// Longest time between two wake-ups. As events are never further apart while
/// the process runs, CheckPause can take a longer gap for a suspension of the
/// process.
constexpr gpMillis kTick{ 50 };
/// Most runs of the target that are admitted; limits the memory.
constexpr std::size_t kMostRuns = 16384;

} // namespace

gpLeaseGuardReducer::gpLeaseGuardReducer(gpLeaseGuardOptions aOptions)
  : options_(std::move(aOptions))
  , links_(options_.name_, options_.links_)
  , target_(options_.fence_)
  , stopper_(options_.service_, runs_, target_)
  , crashReporter_(options_.service_, runs_, target_, options_.fence_)
{
}

std::vector<gpLeaseEffect>
gpLeaseGuardReducer::Reduce(const gpLeaseGuardEvent& aEvent)
{
  now_ = aEvent.now_;
  CheckPause();
  std::visit([this](const auto& aInput) { On(aInput); }, aEvent.input_);
  SendStarts();
  crashReporter_.Check(now_, out_);
  stopper_.Repeat(pollSchedule_.GetPause(), now_, out_);
  AskForClaims();
  Poll();
  links_.Update(runs_, now_, out_);
  links_.SendUpdates(MakeTargetUpdate(), MakeCapacityReport(), now_, out_);
  ContinueShutdown();
  ScheduleWake();
  return out_.Take();
}

gpLeaseGuardStatus
gpLeaseGuardReducer::GetStatus() const
{
  gpLeaseGuardStatus status;
  status.runs_ = runs_.GetAll().size();
  status.entries_ = links_.Count();
  status.targetKnown_ = target_.IsKnown();
  status.takesWork_ = TakesWork();
  return status;
}

void
gpLeaseGuardReducer::CheckPause()
{
  const bool isFirst = lastEventAt_ == gpTime{};
  const gpTime last = std::exchange(lastEventAt_, now_);
  if (isFirst || now_ - last < kLongestPause) {
    return;
  }
  WriteTarget(gpEventKind::BadInput,
              "not scheduled for " + gpMillisText(now_ - last) +
                ", closing links");
  for (const gpLinkId link : links_.CloseAll(now_)) {
    out_.Add(gpCloseLink{ link });
  }
  stopper_.StopUnlinkedRuns(now_, out_);
}

bool
gpLeaseGuardReducer::IsCapacityCurrent() const
{
  return capacityToldAt_.has_value() &&
         now_ - *capacityToldAt_ < kHeartbeatLifetime;
}

bool
gpLeaseGuardReducer::MayRenewLease() const
{
  return !target_.IsSilent(now_) && !stopper_.HasOverdue(now_);
}

bool
gpLeaseGuardReducer::TakesWork() const
{
  return target_.IsKnown() && target_.IsConfirmed() &&
         pollSchedule_.HasAnswer() && !stopper_.HasUnknownRuns() &&
         !target_.IsLeaving() && MayRenewLease() &&
         (capacityEnforced_ || IsCapacityCurrent()) &&
         shutdownEnd_ == gpTime::max();
}

void
gpLeaseGuardReducer::On(const gpEntriesFound& aEvent)
{
  links_.GetFinder().SetConfigured(aEvent.entries_);
}

void
gpLeaseGuardReducer::On(const gpLinkOpened& aEvent)
{
  if (aEvent.peer_.role_ != gpRole::Entry || !aEvent.dialed_.has_value()) {
    return;
  }
  const gpIncarnation entry = aEvent.peer_.incarnation_;
  const auto earlier = links_.Open(aEvent.link_, *aEvent.dialed_, entry);
  if (earlier.has_value()) {
    // Orders that are still unread on the earlier link must not be carried out
    // after gpRunsHeld, which doesn't list them.
    out_.Add(gpCloseLink{ *earlier });
    stopper_.StopRunsOf(entry, now_, out_);
    WriteTarget(gpEventKind::LinkDown,
                "replaced by a link with the same entry at " +
                  aEvent.dialed_->value_);
  }
  out_.Send(aEvent.link_, gpRunsHeld{ runs_.ListRunsOf(entry) });
  std::vector<gpTargetCrash> crashes = toldCrashes_.List();
  if (!crashes.empty()) {
    gpEntryUpdate update;
    update.crashes_ = std::move(crashes);
    out_.Send(aEvent.link_, std::move(update));
  }
}

void
gpLeaseGuardReducer::On(const gpLinkLost& aEvent)
{
  const auto entry = links_.Close(aEvent.link_, now_);
  if (entry.has_value()) {
    stopper_.StopRunsOf(*entry, now_, out_);
  }
}

void
gpLeaseGuardReducer::On(const gpDialFailed& aEvent)
{
  links_.GetFinder().OnDialFailed(aEvent.address_, now_);
}

void
gpLeaseGuardReducer::On(const gpMessageReceived& aEvent)
{
  // A link that CheckPause closed is no longer in the table.
  if (links_.Contains(aEvent.link_)) {
    std::visit([&](const auto& aMessage) { OnMessage(aEvent.link_, aMessage); },
               aEvent.message_);
  }
}

void
gpLeaseGuardReducer::OnMessage(gpLinkId aLink, const gpRunOrder& aMessage)
{
  const bool wasEnforced =
    std::exchange(capacityEnforced_, aMessage.capacityEnforced_);
  if (capacityEnforced_ != wasEnforced && capacityToldAt_.has_value()) {
    UpdateRecord();
  }
  const auto spec = std::make_shared<const std::string>(aMessage.spec_);
  for (const gpRunId& run : aMessage.runs_) {
    AdmitOne(aLink, aMessage, { run, spec });
  }
}

void
gpLeaseGuardReducer::OnMessage(gpLinkId aLink, const gpRunCancel& aMessage)
{
  const gpIncarnation entry = links_.GetEntry(aLink);
  for (const gpRunId& id : aMessage.runs_) {
    gpGuardRun* run = runs_.Find(id);
    if (run != nullptr && run->owner_ == entry) {
      stopper_.Stop(*run, now_, out_);
    }
  }
}

void
gpLeaseGuardReducer::OnMessage(gpLinkId /*aLink*/,
                               const gpEntryUpdate& aMessage)
{
  links_.GetFinder().Learn(aMessage.entries_);
  for (const gpTargetCrash& crash : aMessage.crashes_) {
    toldCrashes_.Learn(crash, now_);
  }
}

void
gpLeaseGuardReducer::AdmitOne(gpLinkId aLink,
                              const gpRunOrder& aOrder,
                              const gpStartQueue::Start& aStart)
{
  const gpRunId& id = aStart.run_;
  links_.NoteOrdered(aLink, now_);
  if (!TakesWork() || links_.IsSurplus(aLink)) {
    Refuse(
      aLink, id, links_.IsSurplus(aLink) ? gpRunEnd::Leaving : WhyNoWork());
    return;
  }
  if (runs_.GetAll().size() >= kMostRuns ||
      !runs_.GetFree().Covers(aOrder.needs_)) {
    Refuse(aLink, id, gpRunEnd::NoRoom);
    return;
  }
  gpGuardRun run;
  run.id_ = id;
  run.owner_ = links_.GetEntry(aLink);
  run.queue_ = aOrder.queue_;
  run.needs_ = aOrder.needs_;
  run.estimate_ = aOrder.estimate_;
  run.orderedAt_ = now_;
  if (!runs_.Add(std::move(run))) {
    Refuse(aLink, id, gpRunEnd::Outdated);
    return;
  }
  crashReporter_.NoteStart(aOrder.queue_, now_);
  WriteRun(gpEventKind::TaskAdmitted, id, "");
  starts_.Add(aStart);
}

gpRunEnd
gpLeaseGuardReducer::WhyNoWork() const
{
  const bool isLeaving =
    shutdownEnd_ != gpTime::max() || (target_.IsKnown() && target_.IsLeaving());
  return isLeaving ? gpRunEnd::Leaving : gpRunEnd::Unhealthy;
}

void
gpLeaseGuardReducer::SendStarts()
{
  while (starts_.HasNext()) {
    const gpStartQueue::Start start = starts_.TakeNext();
    const gpGuardRun* run = runs_.Find(start.run_);
    if (run == nullptr || run->phase_ != gpRunPhase::Starting) {
      continue; // it was stopped while it waited
    }
    if (!TakesWork()) {
      Finish(start.run_, WhyNoWork(), gpEndEvidence::NotStarted);
      continue;
    }
    starts_.NoteSent();
    out_.Add(gpStartRun{ target_.Get().id_,
                         start.run_,
                         *start.spec_,
                         target_.GetFence(),
                         target_.ExtendLease(now_) });
  }
}

void
gpLeaseGuardReducer::Refuse(gpLinkId aLink,
                            const gpRunId& aRun,
                            gpRunEnd aReason)
{
  WriteRun(gpEventKind::TaskRefused, aRun, gpRunEndName(aReason));
  links_.Report(aLink, { aRun, aReason, gpMicros(0) }, out_);
}

void
gpLeaseGuardReducer::Finish(const gpRunId& aRun,
                            gpRunEnd aEnd,
                            gpEndEvidence aEvidence)
{
  const gpGuardRun* run = runs_.Find(aRun);
  if (run == nullptr) {
    return;
  }
  WriteRun(gpEventKind::TaskEnded,
           aRun,
           gpRunEndName(aEnd) + " " + gpEndEvidenceName(aEvidence));
  const gpMicros time = now_ - run->orderedAt_;
  if (aEnd == gpRunEnd::Done) {
    speed_.NoteDone(run->estimate_, time);
  } else if (aEnd == gpRunEnd::Stopped) {
    speed_.NoteStopped(run->estimate_, time);
  }
  if (run->owner_.has_value()) {
    links_.Report(*run->owner_, { aRun, aEnd, time }, out_);
  }
  runs_.Remove(aRun);
  stopper_.Forget(aRun);
}

void
gpLeaseGuardReducer::FinishAll(gpEndEvidence aEvidence)
{
  stopper_.Clear();
  std::vector<gpRunId> all;
  for (const auto& [id, run] : runs_.GetAll()) {
    all.push_back(id);
  }
  for (const gpRunId& id : all) {
    Finish(id, gpRunEnd::Stopped, aEvidence);
  }
}

void
gpLeaseGuardReducer::FinishEnded(gpTime aSentAt,
                                 const std::vector<gpRunId>& aRunning)
{
  for (const gpRunId& id : runs_.ListEnded(aSentAt, aRunning)) {
    Finish(id, gpRunEnd::Stopped, gpEndEvidence::NotListed);
  }
}

void
gpLeaseGuardReducer::OnNewIncarnation(bool aIsSameId)
{
  if (aIsSameId) {
    target_.NoteRestartedUnderSameId(now_);
    stopper_.StopAll(now_, out_);
  } else {
    FinishAll(gpEndEvidence::TargetReplaced);
  }
  seenEnds_ = 0;
  speed_.Restart();
  pollSchedule_.Restart(now_);
}

void
gpLeaseGuardReducer::On(const gpHeartbeatReceived& aEvent)
{
  const gpTargetAnnouncement& target = aEvent.target_;
  if (target.service_ != options_.service_) {
    return;
  }
  if (target_.IsPresent(target)) {
    if (target_.IsNews(target, now_)) {
      Accept(target, now_);
    }
  } else if (!target_.IsKnown() || target_.IsProven(target)) {
    Accept(target, now_);
  } else {
    claims_.Note(target, now_);
  }
}

void
gpLeaseGuardReducer::Accept(const gpTargetAnnouncement& aTarget, gpTime aToldAt)
{
  Announce(aTarget);
  capacityToldAt_ = aToldAt;
  UpdateRecord();
}

void
gpLeaseGuardReducer::AskForClaims()
{
  const auto id = claims_.TakeDue(now_);
  if (id.has_value()) {
    out_.Add(gpIdentifyTarget{ *id, target_.GetFence() });
  }
}

void
gpLeaseGuardReducer::DropOldClaims()
{
  for (const std::string& id : claims_.DropOld(now_)) {
    WriteTarget(gpEventKind::BadInput,
                "heartbeat of " + id + ": the target has not answered for " +
                  gpMillisText(kHeartbeatLifetime));
  }
}

void
gpLeaseGuardReducer::On(const gpTargetIdentified& aEvent)
{
  switch (aEvent.reply_) {
    case gpOrderReply::Accepted:
      SettleClaims(aEvent);
      return;
    case gpOrderReply::OtherTarget:
      claims_.Refute(aEvent.id_);
      WriteTarget(gpEventKind::BadInput,
                  "heartbeat of " + aEvent.id_ + ": the target has another ID");
      return;
    case gpOrderReply::Fence:
      target_.RaiseFence();
      claims_.NoteFenceRefused(aEvent.id_, now_);
      return;
    default:
      claims_.NoteUnanswered(aEvent.id_, now_);
      return;
  }
}

void
gpLeaseGuardReducer::SettleClaims(const gpTargetIdentified& aEvent)
{
  const auto claim = claims_.Confirm(aEvent.id_, aEvent.startTime_);
  if (!claim.has_value()) {
    WriteTarget(gpEventKind::BadInput,
                "heartbeat of " + aEvent.id_ + ": the target has started at " +
                  std::to_string(aEvent.startTime_));
    return;
  }
  // A later heartbeat may have been accepted while the target was asked.
  const bool isOutdated = target_.IsPresent(claim->target_) &&
                          claim->target_.sequence_ <= target_.Get().sequence_ &&
                          !claim->target_.draining_;
  if (!isOutdated) {
    Accept(claim->target_, claim->toldAt_);
  }
}

void
gpLeaseGuardReducer::NoteReply(gpOrderReply aReply)
{
  const bool isUnanswered = aReply == gpOrderReply::Silent ||
                            aReply == gpOrderReply::Broken ||
                            aReply == gpOrderReply::NotSent;
  if (isUnanswered || claims_.IsEmpty()) {
    crashReporter_.NoteReply(aReply, now_);
  }
}

void
gpLeaseGuardReducer::On(const gpTargetRecordRead& aEvent)
{
  const gpTargetAnnouncement& target = aEvent.record_.target_;
  if (target_.IsKnown() || target.service_ != options_.service_) {
    return;
  }
  // No work is taken until the target has answered a poll. The poll names the
  // incarnation of the record, and any other refuses it.
  record_ = aEvent.record_;
  capacityEnforced_ = aEvent.record_.capacityEnforced_;
  Announce(target);
}

void
gpLeaseGuardReducer::Announce(const gpTargetAnnouncement& aTarget)
{
  const bool wasDraining = target_.IsKnown() && target_.Get().draining_;
  // If another incarnation has already answered, the end of this one is known.
  const auto earlier = target_.IsKnown() && target_.IsConfirmed()
                         ? crashReporter_.GetCrashableId()
                         : std::nullopt;
  const bool isSameId = target_.IsKnown() && target_.Get().id_ == aTarget.id_;
  const bool isOther = target_.NoteHeartbeat(aTarget, now_);
  pollSchedule_.NoteHeartbeat(now_);
  runs_.SetCapacity(target_.Get().capacity_);
  if (isOther) {
    crashReporter_.NoteRestart(earlier, now_, out_);
    OnNewIncarnation(isSameId);
    WriteTarget(gpEventKind::TargetAnnounced, aTarget.id_);
  }
  if (aTarget.draining_ && !wasDraining) {
    WriteTarget(gpEventKind::TargetLeaving, aTarget.id_);
  }
}

void
gpLeaseGuardReducer::UpdateRecord()
{
  gpTargetRecord present{ target_.Get(), capacityEnforced_ };
  if (record_.has_value()) {
    // The sequence number changes with each heartbeat, and an older one is as
    // good to recognise the incarnation.
    present.target_.sequence_ = record_->target_.sequence_;
  }
  if (present != record_) {
    record_ = present;
    out_.Add(gpStoreTargetRecord{ { target_.Get(), capacityEnforced_ } });
  }
}

void
gpLeaseGuardReducer::On(const gpTargetEnded& aEvent)
{
  if (target_.IsKnown() && target_.Get().id_ == aEvent.id_) {
    WriteTarget(gpEventKind::TargetLeaving, aEvent.id_ + " has ended");
    target_.NoteEnded();
  }
}

void
gpLeaseGuardReducer::On(const gpStartReplied& aEvent)
{
  starts_.NoteReplied();
  // Otherwise the answer may be of an earlier incarnation.
  if (gpGuardRun* run = runs_.Find(aEvent.run_)) {
    target_.NoteClock(aEvent.clock_, now_);
    if (aEvent.reply_ == gpOrderReply::Accepted) {
      target_.NoteAnswer(now_);
    }
    NoteStarted(*run, aEvent.reply_);
  }
  NoteReply(aEvent.reply_);
}

void
gpLeaseGuardReducer::NoteStarted(gpGuardRun& aRun, gpOrderReply aReply)
{
  // Finish removes the run.
  const gpRunId id = aRun.id_;
  switch (aReply) {
    case gpOrderReply::Accepted:
      aRun.started_ = true;
      if (aRun.phase_ == gpRunPhase::Starting) {
        aRun.phase_ = gpRunPhase::Running;
        aRun.visibleSince_ = now_;
      }
      return;
    case gpOrderReply::Silent:
    case gpOrderReply::Broken:
      stopper_.Stop(aRun, now_, out_);
      return;
    case gpOrderReply::Outdated:
      Finish(id, gpRunEnd::Outdated, gpEndEvidence::NotStarted);
      return;
    case gpOrderReply::Late:
    case gpOrderReply::NoRoom:
      Finish(id, gpRunEnd::NoRoom, gpEndEvidence::NotStarted);
      return;
    // The next poll is refused for its fence too if the fence has to be raised.
    case gpOrderReply::Fence:
    case gpOrderReply::Unhealthy:
    case gpOrderReply::OtherTarget:
    case gpOrderReply::NotSent:
      Finish(id, gpRunEnd::Unhealthy, gpEndEvidence::NotStarted);
      return;
  }
}

void
gpLeaseGuardReducer::On(const gpStopReplied& aEvent)
{
  if (runs_.Find(aEvent.run_) != nullptr) {
    target_.NoteClock(aEvent.clock_, now_);
  }
  stopper_.NoteReply(aEvent, now_);
  NoteReply(aEvent.reply_);
}

void
gpLeaseGuardReducer::On(const gpPollReplied& aEvent)
{
  if (!pollSchedule_.IsCurrent(aEvent.sentAt_)) {
    return; // of an incarnation that has ended
  }
  target_.NoteClock(aEvent.clock_, now_);
  const auto earlier = crashReporter_.GetCrashableId();
  const bool isSameId = aEvent.reply_ != gpOrderReply::OtherTarget;
  if (isSameId && target_.NoteStartTime(aEvent.startTime_)) {
    crashReporter_.NoteRestart(earlier, now_, out_);
    WriteTarget(gpEventKind::TargetLeaving, "another incarnation answered");
    OnNewIncarnation(true);
    target_.NoteAnswer(now_);
    // This poll had the fence of the earlier incarnation, so orders for that
    // one may still be carried out after the list was made.
    return;
  }
  const bool isKnown = target_.IsKnown() &&
                       aEvent.reply_ == gpOrderReply::Accepted &&
                       target_.Get().startTime_ == aEvent.startTime_;
  if (isKnown) {
    crashReporter_.NoteReply(aEvent.reply_, now_);
  } else {
    NoteReply(aEvent.reply_);
  }
  if (aEvent.reply_ == gpOrderReply::Fence) {
    target_.RaiseFence();
    pollSchedule_.NoteFenceRefused(aEvent.sentAt_, now_);
    return;
  }
  if (aEvent.reply_ != gpOrderReply::Accepted) {
    if (aEvent.reply_ == gpOrderReply::OtherTarget && target_.IsKnown() &&
        !pollSchedule_.HasAnswer() && runs_.IsEmpty() &&
        !stopper_.HasUnknownRuns()) {
      WriteTarget(gpEventKind::TargetLeaving, "another incarnation answered");
      target_.Forget();
    }
    pollSchedule_.NoteFailed(aEvent.sentAt_, now_);
    // The target may still be running and only be unreachable, so its runs
    // count as ended only after its lease has expired.
    if (aEvent.reply_ == gpOrderReply::NotSent) {
      target_.NoteUnreachable();
    }
    return;
  }
  if (isKnown) {
    crashReporter_.NoteAlive(aEvent.sentAt_, out_);
  }
  target_.NoteAnswer(now_);
  target_.NoteFenceTaken();
  const bool hadAnswer = pollSchedule_.HasAnswer();
  pollSchedule_.NoteAnswered(aEvent.sentAt_, now_);
  if (!hadAnswer && pollSchedule_.HasAnswer()) {
    target_.NoteFenceSeen(now_);
  }
  for (const gpEndedRun& ended : aEvent.ended_) {
    if (ended.position_ > seenEnds_) {
      seenEnds_ = ended.position_;
      Finish(ended.run_, ended.end_, gpEndEvidence::Listed);
    }
  }
  FinishEnded(aEvent.sentAt_, aEvent.running_);
  stopper_.StopUnknownRuns(aEvent.running_, now_, out_);
}

void
gpLeaseGuardReducer::On(const gpTimePassed&)
{
  crashReporter_.DropOld(now_);
  toldCrashes_.DropOld(now_);
  DropOldClaims();
  if (!MayRenewLease() && !runs_.IsEmpty() && target_.HasLeaseExpired(now_)) {
    if (target_.IsSilent(now_)) {
      WriteTarget(gpEventKind::TargetLeaving,
                  "no answer until its lease expired");
      crashReporter_.NoteGivenUp();
    } else {
      WriteTarget(gpEventKind::BadInput,
                  "no answer to a stop until the lease expired");
    }
    FinishAll(gpEndEvidence::LeaseExpired);
  }
}

void
gpLeaseGuardReducer::On(const gpShutdownRequested&)
{
  if (shutdownEnd_ != gpTime::max()) {
    return;
  }
  shutdownEnd_ = now_ + options_.shutdown_;
  out_.Write(gpProcessLogEvent(gpEventKind::ProcessStopping, ""));
}

void
gpLeaseGuardReducer::Poll()
{
  if (!target_.IsKnown() || !pollSchedule_.IsDue(now_)) {
    return;
  }
  pollSchedule_.NoteSent();
  gpPollTarget poll;
  poll.target_ = target_.Get().id_;
  poll.fence_ = target_.GetFence();
  poll.seenEnds_ = seenEnds_;
  poll.wait_ = kIdlePollWait;
  if (!runs_.IsEmpty()) {
    poll.wait_ = kPollWait;
    if (MayRenewLease()) {
      poll.leaseEnd_ = target_.ExtendLease(now_);
    }
  }
  if (!pollSchedule_.HasAnswer() || pollSchedule_.HasFailed() ||
      stopper_.HasUnknownRuns()) {
    poll.wait_ = gpMillis(0);
  }
  out_.Add(std::move(poll));
}

gpTargetUpdate
gpLeaseGuardReducer::MakeTargetUpdate() const
{
  gpTargetUpdate update;
  update.service_ = options_.service_;
  update.dataCentre_ = options_.dataCentre_;
  update.takesWork_ = TakesWork();
  update.crashes_ = crashReporter_.List();
  if (target_.IsKnown()) {
    update.labels_ = target_.Get().labels_;
    update.capacity_ = target_.Get().capacity_;
  }
  return update;
}

gpCapacityReport
gpLeaseGuardReducer::MakeCapacityReport() const
{
  constexpr double kPermille = 1000;
  gpCapacityReport report;
  report.free_ = runs_.GetFree();
  report.slownessPermille_ =
    static_cast<std::uint32_t>(std::lround(speed_.GetSlowness() * kPermille));
  return report;
}

void
gpLeaseGuardReducer::ContinueShutdown()
{
  const bool isOver = runs_.IsEmpty() || now_ >= shutdownEnd_;
  if (shutdownEnd_ != gpTime::max() && isOver && !stopped_) {
    stopped_ = true;
    out_.Add(gpStop{});
  }
}

void
gpLeaseGuardReducer::ScheduleWake()
{
  gpTime when = now_ + kTick;
  const gpTime soonest = now_ + gpMillis(1);
  if (!pollSchedule_.IsInFlight() && target_.IsKnown()) {
    when = std::min(when, std::max(pollSchedule_.GetNext(), soonest));
  }
  const gpTime updateAt = links_.GetNextUpdateTime(runs_.GetFree());
  when = std::min(when, std::max(updateAt, soonest));
  when = std::min(when, std::max(crashReporter_.GetNext(), soonest));
  when = std::min(when, std::max(claims_.GetNext(), soonest));
  const gpTime stopAt = stopper_.GetNext(pollSchedule_.GetPause());
  when = std::min(when, std::max(stopAt, soonest));
  if (wakeAt_ <= now_ || when < wakeAt_) {
    wakeAt_ = when;
    out_.Add(gpWakeAt{ when });
  }
}

void
gpLeaseGuardReducer::WriteTarget(gpEventKind aKind, const std::string& aDetail)
{
  out_.Write(gpProcessLogEvent(aKind, aDetail));
}

void
gpLeaseGuardReducer::WriteRun(gpEventKind aKind,
                              const gpRunId& aRun,
                              const std::string& aDetail)
{
  out_.Write(gpRunLogEvent(aKind, options_.service_, aRun, aDetail));
}

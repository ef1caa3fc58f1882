#include "gpGuardStarts.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gpConfiguration.h"
#include "gpDecisionEvents.h"

namespace {

/// Limit on the tasks that wait for a slot at this guard. It allows for several
/// entries that send a task to the same free slot at the same time; all other
/// tasks wait at the entries.
constexpr std::size_t kMaxPending = 8;

const char*
RefusalName(gpRefusal aReason)
{
  static constexpr std::array kNames = {
    "no_slot", "leaving", "tombstone", "connection", "expired", "cancelled",
  };
  return kNames.at(static_cast<std::size_t>(aReason));
}

gpTaskEnd
EndOf(const gpTargetReplied& aReply)
{
  constexpr int kFirstServerError = 500;
  if (!aReply.response_.has_value()) {
    return gpTaskEnd::Broken;
  }
  return aReply.response_->status_ < kFirstServerError ? gpTaskEnd::Answered
                                                       : gpTaskEnd::Failed;
}

} // namespace

gpGuardStarts::gpGuardStarts(const gpLinkTable& aLinks)
  : links_(aLinks)
  , ledger_(gpClaimSettings{}.retention_)
{
}

void
gpGuardStarts::OnAnnounced(const gpTargetAnnounced& aTarget, gpEffects& aOut)
{
  const bool changed = slots_ != aTarget.slots_;
  target_ = aTarget.address_;
  slots_ = aTarget.slots_;
  if (changed) {
    ReportSlotsToAll(aOut);
  }
}

void
gpGuardStarts::Leave(gpTime aNow, gpEffects& aOut)
{
  leaving_ = true;
  RefusePending(gpRefusal::Leaving, aNow, aOut);
  ReportSlotsToAll(aOut);
}

void
gpGuardStarts::CancelLeave(gpEffects& aOut)
{
  leaving_ = false;
  ReportSlotsToAll(aOut);
}

void
gpGuardStarts::SetDrained(bool aDrained, gpTime aNow, gpEffects& aOut)
{
  if (drained_ == aDrained) {
    return;
  }
  drained_ = aDrained;
  if (drained_) {
    RefusePending(gpRefusal::Leaving, aNow, aOut);
  }
  ReportSlotsToAll(aOut);
}

void
gpGuardStarts::OnEntryLink(gpLinkId aLink, gpEffects& aOut)
{
  ReportSlots(aLink, aOut);
}

void
gpGuardStarts::OnStart(gpLinkId aLink,
                       const gpStart& aStart,
                       gpTime aNow,
                       gpEffects& aOut)
{
  const gpAttemptId attempt{ aStart.task_, aStart.attempt_ };
  const gpAdmission admission = ledger_.Admit(attempt, aNow);
  if (admission == gpAdmission::Duplicate) {
    AnswerDuplicate(aLink, attempt, aOut);
    return;
  }
  if (admission == gpAdmission::Tombstoned) {
    Refuse(aLink, attempt, gpRefusal::Tombstone, aNow, aOut);
    return;
  }
  const std::optional<gpRefusal> refusal = FindRefusal(aStart);
  if (refusal.has_value()) {
    Refuse(aLink, attempt, *refusal, aNow, aOut);
    return;
  }
  if (CountRunning() < slots_) {
    Call(aStart, aOut);
  } else {
    pending_.push_back({ aStart, aNow });
  }
}

void
gpGuardStarts::OnResolve(gpLinkId aLink,
                         const gpResolve& aResolve,
                         gpTime aNow,
                         gpEffects& aOut)
{
  gpResolveReply reply;
  std::vector<gpStartResult> results;
  for (const gpAttemptId& attempt : aResolve.attempts_) {
    const gpAttemptState state = ledger_.Resolve(attempt, aNow);
    reply.resolutions_.push_back({ attempt, state });
    const gpStartResult* result = ledger_.FindResult(attempt.task_);
    if (state == gpAttemptState::Ended && result != nullptr) {
      results.push_back(*result);
    }
    if (state == gpAttemptState::NeverSeen) {
      aOut.Write(gpTaskEvent(gpEventKind::TaskTombstoned, attempt));
    }
  }
  aOut.Send(aLink, std::move(reply));
  for (gpStartResult& result : results) {
    result.freeSlots_ = NoteReportedFree(aLink);
    aOut.Send(aLink, std::move(result));
  }
}

void
gpGuardStarts::OnCancel(gpLinkId aLink,
                        const gpCancel& aCancel,
                        gpTime aNow,
                        gpEffects& aOut)
{
  for (const gpAttemptId& attempt : aCancel.attempts_) {
    const gpAttemptState state = ledger_.Resolve(attempt, aNow);
    if (state == gpAttemptState::NeverSeen) {
      Refuse(aLink, attempt, gpRefusal::Cancelled, aNow, aOut);
    } else if (RemovePending(attempt)) {
      RefuseIfLinked(attempt, gpRefusal::Cancelled, aNow, aOut);
    } else if (state == gpAttemptState::Running && running_.contains(attempt)) {
      aOut.Write(gpTaskEvent(gpEventKind::TaskCancelled, attempt));
      aOut.Add(gpAbortCall{ attempt });
      gpTargetReplied broken;
      broken.attempt_ = attempt;
      broken.sent_ = true;
      OnReplied(broken, aNow, aOut);
    }
  }
}

void
gpGuardStarts::OnReplied(const gpTargetReplied& aReply,
                         gpTime aNow,
                         gpEffects& aOut)
{
  if (running_.erase(aReply.attempt_) == 0) {
    return;
  }
  StartPending(aNow, aOut);
  if (!aReply.sent_) {
    RefuseIfLinked(aReply.attempt_, gpRefusal::Connection, aNow, aOut);
    OfferFreedSlot(aOut);
    return;
  }
  gpStartResult result;
  result.task_ = aReply.attempt_.task_;
  result.attempt_ = aReply.attempt_.attempt_;
  result.end_ = EndOf(aReply);
  result.result_ = aReply.response_.value_or(gpTaskResult{});
  result.runTime_ = aReply.runTime_;
  ledger_.End(result, aNow);
  Report(result, aOut);
  OfferFreedSlot(aOut);
}

void
gpGuardStarts::OnHeartbeat(gpTime aNow, gpEffects& aOut)
{
  ledger_.Expire(aNow);
  const std::uint32_t free = CountFree();
  for (const auto& [link, reported] : std::map(reportedFree_)) {
    if (reported != free) {
      ReportSlots(link, aOut);
    }
  }
}

std::uint32_t
gpGuardStarts::CountFree() const
{
  const std::uint32_t taken =
    CountRunning() + static_cast<std::uint32_t>(pending_.size());
  return IsLeaving() || taken >= slots_ ? 0 : slots_ - taken;
}

void
gpGuardStarts::Call(gpStart aStart, gpEffects& aOut)
{
  const gpAttemptId attempt{ aStart.task_, aStart.attempt_ };
  running_.insert(attempt);
  aOut.Write(gpTaskEvent(gpEventKind::TaskAdmitted, attempt));
  aOut.Add(gpCallTarget{ attempt, target_, std::move(aStart) });
}

void
gpGuardStarts::StartPending(gpTime aNow, gpEffects& aOut)
{
  while (!pending_.empty() && CountRunning() < slots_) {
    Pending next = std::move(pending_.front());
    pending_.pop_front();
    next.start_.remaining_ -=
      std::chrono::floor<gpMillis>(aNow - next.arrivedAt_);
    if (next.start_.remaining_ > gpMillis(0)) {
      Call(std::move(next.start_), aOut);
    } else {
      RefuseIfLinked({ next.start_.task_, next.start_.attempt_ },
                     gpRefusal::Expired,
                     aNow,
                     aOut);
    }
  }
}

void
gpGuardStarts::RefusePending(gpRefusal aReason, gpTime aNow, gpEffects& aOut)
{
  for (const Pending& pending : std::exchange(pending_, {})) {
    RefuseIfLinked(
      { pending.start_.task_, pending.start_.attempt_ }, aReason, aNow, aOut);
  }
}

bool
gpGuardStarts::RemovePending(const gpAttemptId& aAttempt)
{
  const auto found =
    std::ranges::find_if(pending_, [&](const Pending& aPending) {
      return aPending.start_.task_ == aAttempt.task_ &&
             aPending.start_.attempt_ == aAttempt.attempt_;
    });
  if (found == pending_.end()) {
    return false;
  }
  pending_.erase(found);
  return true;
}

void
gpGuardStarts::RefuseIfLinked(const gpAttemptId& aAttempt,
                              gpRefusal aReason,
                              gpTime aNow,
                              gpEffects& aOut)
{
  const auto link = links_.FindLink(aAttempt.task_.job_.entry_);
  if (link.has_value()) {
    Refuse(*link, aAttempt, aReason, aNow, aOut);
  } else {
    ledger_.Refuse(aAttempt, aNow);
  }
}

std::optional<gpRefusal>
gpGuardStarts::FindRefusal(const gpStart& aStart) const
{
  if (IsLeaving() || slots_ == 0) {
    return gpRefusal::Leaving;
  }
  if (aStart.remaining_ <= gpMillis(0)) {
    return gpRefusal::Expired;
  }
  if (CountRunning() >= slots_ && pending_.size() >= kMaxPending) {
    return gpRefusal::NoSlot;
  }
  return std::nullopt;
}

void
gpGuardStarts::Refuse(gpLinkId aLink,
                      const gpAttemptId& aAttempt,
                      gpRefusal aReason,
                      gpTime aNow,
                      gpEffects& aOut)
{
  ledger_.Refuse(aAttempt, aNow);
  if (aReason == gpRefusal::NoSlot) {
    const gpIncarnation entry = aAttempt.task_.job_.entry_;
    if (std::ranges::find(refusedEntries_, entry) == refusedEntries_.end()) {
      refusedEntries_.push_back(entry);
    }
  }
  gpTimelineEvent event = gpTaskEvent(gpEventKind::TaskRefused, aAttempt);
  event.detail_ = RefusalName(aReason);
  aOut.Write(std::move(event));
  aOut.Send(
    aLink,
    gpStartRefused{
      aAttempt.task_, aAttempt.attempt_, aReason, NoteReportedFree(aLink) });
}

void
gpGuardStarts::Report(const gpStartResult& aResult, gpEffects& aOut)
{
  gpTimelineEvent event =
    gpTaskEvent(gpEventKind::TaskEnded, { aResult.task_, aResult.attempt_ });
  event.number_ = static_cast<std::uint64_t>(aResult.result_.status_);
  aOut.Write(std::move(event));
  const auto link = links_.FindLink(aResult.task_.job_.entry_);
  if (link.has_value()) {
    gpStartResult message = aResult;
    message.freeSlots_ = NoteReportedFree(*link);
    aOut.Send(*link, std::move(message));
  }
}

void
gpGuardStarts::AnswerDuplicate(gpLinkId aLink,
                               const gpAttemptId& aAttempt,
                               gpEffects& aOut)
{
  const gpStartResult* result = ledger_.FindResult(aAttempt.task_);
  if (result != nullptr) {
    aOut.Send(aLink, *result);
  }
  // For a task that is still running, the result is sent when the task ends.
}

void
gpGuardStarts::ReportSlots(gpLinkId aLink, gpEffects& aOut)
{
  aOut.Send(aLink,
            gpSlotReport{ slots_, NoteReportedFree(aLink), IsLeaving() });
}

std::uint32_t
gpGuardStarts::NoteReportedFree(gpLinkId aLink)
{
  const std::uint32_t free = CountFree();
  reportedFree_[aLink] = free;
  return free;
}

void
gpGuardStarts::ReportSlotsToAll(gpEffects& aOut)
{
  for (const auto& [link, peer] : links_.GetPeers()) {
    if (peer.role_ == gpRole::Entry) {
      ReportSlots(link, aOut);
    }
  }
}

void
gpGuardStarts::OfferFreedSlot(gpEffects& aOut)
{
  if (CountFree() == 0 || refusedEntries_.empty()) {
    return;
  }
  const gpIncarnation entry = refusedEntries_.front();
  refusedEntries_.erase(refusedEntries_.begin());
  const auto link = links_.FindLink(entry);
  if (link.has_value()) {
    ReportSlots(*link, aOut);
  }
}

#include "gpGuardReducer.h"

#include <algorithm>
#include <utility>

namespace {

/// How long a guard keeps running after its removal from the roster was
/// requested, so that new replicas can copy its claims.
constexpr gpMillis kLinger{ 2000 };
/// Timer period while claims are being copied or the guard is shutting down.
constexpr gpMillis kBusyPeriod{ 50 };

} // namespace

gpGuardReducer::gpGuardReducer(gpMember aSelf, gpTimings aTimings)
  : self_(std::move(aSelf))
  , timings_(aTimings)
  , claims_(self_.guard_, links_)
  , starts_(links_)
{
}

std::vector<gpEffect>
gpGuardReducer::Reduce(const gpGuardEvent& aEvent)
{
  now_ = aEvent.now_;
  std::visit([this](const auto& aInput) { On(aInput); }, aEvent.input_);
  ContinueLeaving();
  ScheduleWake();
  return out_.Take();
}

gpGuardStatus
gpGuardReducer::GetStatus() const
{
  gpGuardStatus status;
  status.rosterEpoch_ = claims_.GetPartitions().GetEpoch();
  status.running_ = starts_.CountRunning();
  status.freeSlots_ = starts_.CountFree();
  status.claims_ = claims_.CountClaims();
  status.startRecords_ = starts_.CountRecords();
  status.partitionsHeld_ = claims_.GetPartitions().CountHeld();
  status.partitionsAbstaining_ = claims_.GetPartitions().CountAbstaining();
  status.leaving_ = starts_.IsLeaving();
  return status;
}

void
gpGuardReducer::On(const gpLinkOpened& aEvent)
{
  const bool isDialed = aEvent.dialed_.has_value();
  const bool isEntry = aEvent.peer_.role_ == gpRole::Entry;
  if (isEntry && isDialed) {
    // The guard dials entries only to announce its target. The entry dials a
    // link of its own to send claims and tasks.
    announceLinks_.insert(aEvent.link_);
    Announce(aEvent.link_);
  } else if (isEntry) {
    links_.Open(aEvent.link_, aEvent.peer_);
    starts_.OnEntryLink(aEvent.link_, out_);
  } else if (isDialed) {
    links_.Open(aEvent.link_, aEvent.peer_);
    claims_.OnGuardLink(now_, out_);
  }
}

void
gpGuardReducer::On(const gpLinkLost& aEvent)
{
  links_.Close(aEvent.link_);
  announceLinks_.erase(aEvent.link_);
  starts_.OnLinkLost(aEvent.link_);
}

void
gpGuardReducer::On(const gpDialFailed&)
{
}

void
gpGuardReducer::On(const gpMessageReceived& aEvent)
{
  std::visit([&](const auto& aMessage) { OnMessage(aEvent.link_, aMessage); },
             aEvent.message_);
}

void
gpGuardReducer::On(const gpConfigurationChanged& aEvent)
{
  configuration_ = aEvent.configuration_.configuration_;
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ConfigurationInForce;
  event.number_ = aEvent.configuration_.version_.value_;
  out_.Write(std::move(event));
  ApplyConfiguration();
}

void
gpGuardReducer::On(const gpRosterChanged& aEvent)
{
  const bool wasMember =
    claims_.GetPartitions().GetRoster().members_.contains(self_.guard_);
  claims_.OnRoster(aEvent.roster_, aEvent.contiguous_, now_, out_);
  const bool isMember = aEvent.roster_.members_.contains(self_.guard_);
  // An entry had this guard removed from the roster as unreachable. Other
  // guards have replaced it as a replica, so it joins again as a new member.
  if (wasMember && !isMember && !shutdown_ && !targetLeft_) {
    out_.Add(gpJoinRoster{ self_ });
  }
}

void
gpGuardReducer::On(const gpLogContacted&)
{
  claims_.OnLogContact(now_);
}

void
gpGuardReducer::On(const gpTimePassed&)
{
  lastWake_ = now_;
  claims_.OnTime(now_, out_);
  if (now_ >= nextHeartbeat_) {
    nextHeartbeat_ = now_ + timings_.heartbeat_;
    starts_.OnHeartbeat(now_, out_);
  }
}

void
gpGuardReducer::On(const gpShutdownRequested&)
{
  if (shutdown_) {
    return;
  }
  shutdown_ = true;
  shutdownEnd_ = now_ + timings_.shutdown_;
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ProcessStopping;
  out_.Write(std::move(event));
  starts_.Leave(now_, out_);
}

void
gpGuardReducer::On(const gpTargetAnnounced& aEvent)
{
  const bool isFirst = !announced_;
  // A guard serves the same service for its whole lifetime, because the claims
  // that it stores belong to that service.
  if (!isFirst && aEvent.service_ != self_.service_) {
    return;
  }
  starts_.OnAnnounced(aEvent, out_);
  if (targetLeft_ && targetReleased_ && !shutdown_) {
    // The target was restarted while its guard kept running.
    targetLeft_ = false;
    targetReleased_ = false;
    starts_.CancelLeave(out_);
  }
  if (!isFirst || shutdown_) {
    return;
  }
  announced_ = true;
  self_.service_ = aEvent.service_;
  self_.slots_ = aEvent.slots_;
  claims_.SetService(self_.service_);
  ApplyConfiguration();
  gpTimelineEvent event;
  event.kind_ = gpEventKind::TargetAnnounced;
  event.detail_ = aEvent.address_.value_;
  out_.Write(std::move(event));
  out_.Add(gpJoinRoster{ self_ });
  for (const gpLinkId link : announceLinks_) {
    Announce(link);
  }
}

void
gpGuardReducer::On(const gpTargetLeft&)
{
  if (targetLeft_) {
    return;
  }
  targetLeft_ = true;
  gpTimelineEvent event;
  event.kind_ = gpEventKind::TargetLeaving;
  out_.Write(std::move(event));
  starts_.Leave(now_, out_);
}

void
gpGuardReducer::On(const gpTargetReplied& aEvent)
{
  starts_.OnReplied(aEvent, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpClaimRequest& aMessage)
{
  claims_.OnClaim(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpClaimQuery& aMessage)
{
  claims_.OnQuery(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId, const gpClaimWithdraw& aMessage)
{
  claims_.OnWithdraw(aMessage, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId, const gpClaimOutcome& aMessage)
{
  claims_.OnOutcome(aMessage);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpCopyRequest& aMessage)
{
  claims_.OnCopyRequest(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpCopyReply& aMessage)
{
  claims_.OnCopyReply(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpStart& aMessage)
{
  starts_.OnStart(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpResolve& aMessage)
{
  starts_.OnResolve(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::OnMessage(gpLinkId aLink, const gpCancel& aMessage)
{
  starts_.OnCancel(aLink, aMessage, now_, out_);
}

void
gpGuardReducer::Announce(gpLinkId aLink)
{
  if (announced_ && !starts_.IsLeaving()) {
    out_.Send(aLink, gpAnnounce{ self_ });
  }
}

void
gpGuardReducer::ApplyConfiguration()
{
  if (!configuration_.has_value()) {
    return;
  }
  starts_.SetDrained(
    configuration_->drains_.contains(gpDrain{ self_.address_ }), now_, out_);
  const auto service = configuration_->services_.find(self_.service_);
  if (service != configuration_->services_.end()) {
    const gpClaimSettings& claims = service->second.claims_;
    claims_.SetRetention(claims.retention_, claims.logSilence_);
    starts_.SetRetention(claims.retention_);
  }
}

void
gpGuardReducer::ContinueLeaving()
{
  const bool idle = starts_.CountRunning() == 0;
  if (targetLeft_ && idle && !targetReleased_) {
    targetReleased_ = true;
    out_.Add(gpReleaseTarget{});
  }
  if (!shutdown_ || stopped_) {
    return;
  }
  const bool late = now_ >= shutdownEnd_;
  if (!removalRequested_ && (idle || late)) {
    removalRequested_ = true;
    lingerEnd_ = std::min(now_ + kLinger, shutdownEnd_);
    out_.Add(gpRemoveMembers{ { self_.guard_ } });
  }
  if (removalRequested_ && now_ >= lingerEnd_) {
    stopped_ = true;
    out_.Add(gpStop{});
  }
}

void
gpGuardReducer::ScheduleWake()
{
  const bool busy = claims_.IsCopying() || shutdown_;
  const gpTime when = lastWake_ + (busy ? kBusyPeriod : timings_.heartbeat_);
  if (when != wakeAt_) {
    wakeAt_ = when;
    out_.Add(gpWakeAt{ when });
  }
}

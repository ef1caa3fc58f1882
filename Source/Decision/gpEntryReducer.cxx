#include "gpEntryReducer.h"

#include <algorithm>
#include <utility>

namespace {

/// Period of the checks for guards that are unreachable and for attempts that
/// are in doubt.
constexpr gpMillis kHeartbeat{ 250 };
/// A burst of disconnecting callers counts as over when no caller has
/// disconnected for this time.
constexpr gpMillis kCancelQuiet{ 10 };
/// Longest time for which the cancels of one burst are collected.
constexpr gpMillis kLongestCancelWave{ 100 };

} // namespace

gpEntryReducer::gpEntryReducer(const gpPeer& aSelf,
                               gpTimings aTimings,
                               std::uint64_t aSeed)
  : timings_(aTimings)
  , jobTable_(aSelf.incarnation_)
  , claims_(aSelf.address_, aTimings, links_)
  , attachments_(aTimings.inDoubt_, links_)
  , dispatch_(aTimings, aSeed, jobTable_, guards_)
  , membership_(aTimings, links_, guards_, dispatch_)
  , jobs_(jobTable_, guards_, claims_, attachments_, dispatch_)
{
}

std::vector<gpEffect>
gpEntryReducer::Reduce(const gpEntryEvent& aEvent)
{
  now_ = aEvent.now_;
  std::visit([this](const auto& aInput) { On(aInput); }, aEvent.input_);
  ProcessResults();
  dispatch_.Dispatch(now_, out_);
  SendCancels();
  ContinueShutdown();
  ScheduleWake();
  return out_.Take();
}

gpEntryStatus
gpEntryReducer::GetStatus() const
{
  gpEntryStatus status;
  status.rosterEpoch_ = claims_.GetRoster().epoch_;
  status.jobs_ = jobTable_.CountOpen();
  status.waiting_ = dispatch_.CountWaiting();
  status.inFlight_ = dispatch_.CountInFlight();
  status.ready_ = jobs_.IsReady();
  for (const auto& [incarnation, guard] : guards_.GetAll()) {
    status.members_ += guard.onRoster_ ? 1 : 0;
    status.linked_ += guard.link_.has_value() ? 1 : 0;
    status.ejected_ += guard.health_.IsEjected() ? 1 : 0;
  }
  return status;
}

void
gpEntryReducer::On(const gpJobSubmitted& aEvent)
{
  jobs_.OnSubmitted(aEvent, now_, out_);
}

void
gpEntryReducer::On(const gpJobQueried& aEvent)
{
  jobs_.OnQueried(aEvent, now_, out_);
}

void
gpEntryReducer::On(const gpCallerDisconnected& aEvent)
{
  lastDisconnectAt_ = now_;
  jobs_.OnCallerDisconnected(aEvent.request_, now_, out_);
}

void
gpEntryReducer::On(const gpLinkOpened& aEvent)
{
  // A link carries requests only from the side that dialed it, and the replies
  // to them. So each pair of processes has one link per direction, and this
  // entry sends requests only on the links that it dialed itself.
  if (!aEvent.dialed_.has_value()) {
    return;
  }
  links_.Open(aEvent.link_, aEvent.peer_);
  if (aEvent.peer_.role_ == gpRole::Guard) {
    membership_.OnGuardLink(aEvent.link_, aEvent.peer_, now_, out_);
  } else {
    attachments_.OnEntryLink(aEvent.link_, aEvent.peer_, out_);
  }
}

void
gpEntryReducer::On(const gpLinkLost& aEvent)
{
  const std::optional<gpPeer> peer = links_.Close(aEvent.link_);
  if (!peer.has_value()) {
    return;
  }
  // The peer may have a newer link already; then it is still reachable.
  const bool stillLinked = links_.FindLink(peer->incarnation_).has_value();
  if (peer->role_ == gpRole::Guard) {
    membership_.OnLinkLost(peer->incarnation_, aEvent.link_, now_, out_);
    if (!stillLinked) {
      claims_.OnLinkLost(peer->incarnation_, now_, out_);
    }
  } else if (!stillLinked) {
    attachments_.OnLinkLost(*peer, now_);
  }
}

void
gpEntryReducer::On(const gpDialFailed& aEvent)
{
  const bool refused = aEvent.reason_ == gpErrorCode::ConnectRefused;
  attachments_.OnDialFailed(aEvent.address_, refused, out_);
}

void
gpEntryReducer::On(const gpMessageReceived& aEvent)
{
  std::visit([&](const auto& aMessage) { OnMessage(aEvent.link_, aMessage); },
             aEvent.message_);
}

void
gpEntryReducer::On(const gpConfigurationChanged& aEvent)
{
  const gpConfiguration& configuration = aEvent.configuration_.configuration_;
  jobs_.SetConfiguration(configuration);
  dispatch_.SetConfiguration(configuration);
  membership_.OnDrains(configuration.drains_);
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ConfigurationInForce;
  event.number_ = aEvent.configuration_.version_.value_;
  out_.Write(std::move(event));
}

void
gpEntryReducer::On(const gpRosterChanged& aEvent)
{
  membership_.OnRoster(aEvent.roster_, now_, out_);
  claims_.OnRoster(aEvent.roster_, now_, out_);
}

void
gpEntryReducer::On(const gpTimePassed&)
{
  claims_.OnTime(now_, out_);
  attachments_.OnTime(now_, out_);
  jobs_.OnTime(now_, out_);
  if (lastHeartbeat_ + kHeartbeat <= now_) {
    lastHeartbeat_ = now_;
    dispatch_.OnTime(now_, out_);
    membership_.OnTime(now_, out_);
  }
}

void
gpEntryReducer::On(const gpShutdownRequested&)
{
  if (jobs_.IsClosed()) {
    return;
  }
  jobs_.Close();
  shutdownEnd_ = now_ + timings_.shutdown_;
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ProcessStopping;
  out_.Write(std::move(event));
}

void
gpEntryReducer::OnMessage(gpLinkId aLink, const gpClaimReply& aMessage)
{
  const gpPeer* peer = links_.FindPeer(aLink);
  if (peer != nullptr) {
    claims_.OnReply(peer->incarnation_, aMessage, now_, out_);
  }
}

void
gpEntryReducer::OnMessage(gpLinkId aLink, const gpAttachRequest& aMessage)
{
  jobs_.OnAttachRequest(aLink, aMessage, now_, out_);
}

void
gpEntryReducer::OnMessage(gpLinkId, const gpAttachReply& aMessage)
{
  attachments_.OnReply(aMessage, out_);
}

void
gpEntryReducer::OnMessage(gpLinkId aLink, const gpStartRefused& aMessage)
{
  gpGuardView* guard = FindGuard(aLink);
  if (guard != nullptr) {
    dispatch_.OnRefused(*guard, aMessage, now_, out_);
  }
}

void
gpEntryReducer::OnMessage(gpLinkId aLink, const gpStartResult& aMessage)
{
  gpGuardView* guard = FindGuard(aLink);
  if (guard != nullptr) {
    dispatch_.OnResult(*guard, aMessage, now_, out_);
  }
}

void
gpEntryReducer::OnMessage(gpLinkId aLink, const gpResolveReply& aMessage)
{
  gpGuardView* guard = FindGuard(aLink);
  if (guard != nullptr) {
    dispatch_.OnResolved(*guard, aMessage, out_);
  }
}

void
gpEntryReducer::OnMessage(gpLinkId aLink, const gpSlotReport& aMessage)
{
  gpGuardView* guard = FindGuard(aLink);
  if (guard != nullptr) {
    dispatch_.OnSlotReport(*guard, aMessage, now_, out_);
  }
}

void
gpEntryReducer::OnMessage(gpLinkId, const gpAnnounce& aMessage)
{
  membership_.OnAnnounced(aMessage.member_, now_, out_);
}

gpGuardView*
gpEntryReducer::FindGuard(gpLinkId aLink)
{
  const gpPeer* peer = links_.FindPeer(aLink);
  return peer == nullptr ? nullptr : guards_.Find(peer->incarnation_);
}

void
gpEntryReducer::ProcessResults()
{
  bool isDone = false;
  while (!isDone) {
    isDone = true;
    for (const gpClaimResult& result : claims_.TakeResults()) {
      jobs_.OnClaimResult(result, now_, out_);
      isDone = false;
    }
    for (const gpAttachmentResult& result : attachments_.TakeResults()) {
      jobs_.OnAttachmentResult(result, now_, out_);
      isDone = false;
    }
    for (const gpJobUpdate& update : dispatch_.TakeUpdates()) {
      jobs_.OnUpdate(update, now_, out_);
      isDone = false;
    }
  }
}

void
gpEntryReducer::SendCancels()
{
  // Each caller that disconnects is a separate event. If each event sent its
  // cancel at once, the freed slots would be filled with tasks whose callers
  // are about to disconnect as well.
  if (!dispatch_.HasCancels()) {
    return;
  }
  firstCancelAt_ = std::min(firstCancelAt_, now_);
  const gpTime lastAt = std::max(firstCancelAt_, lastDisconnectAt_);
  cancelsAt_ =
    std::min(lastAt + kCancelQuiet, firstCancelAt_ + kLongestCancelWave);
  if (now_ >= cancelsAt_) {
    cancelsAt_ = gpTime::max();
    firstCancelAt_ = gpTime::max();
    dispatch_.FlushCancels(out_);
  }
}

void
gpEntryReducer::ContinueShutdown()
{
  if (!jobs_.IsClosed() || stopped_) {
    return;
  }
  if (now_ >= shutdownEnd_) {
    jobs_.FailAll(now_, out_);
  }
  if (jobTable_.CountOpen() == 0) {
    dispatch_.FlushCancels(out_);
    stopped_ = true;
    out_.Add(gpStop{});
  }
}

void
gpEntryReducer::ScheduleWake()
{
  gpTime when = lastHeartbeat_ + kHeartbeat;
  when = std::min(when, jobs_.GetNextTime());
  when = std::min(when, attachments_.GetNextTime());
  when = std::min(when, claims_.GetNextTime(now_));
  when = std::min(when, shutdownEnd_);
  when = std::min(when, cancelsAt_);
  // An open claim round has a new next time after each event. A new request is
  // not needed if an earlier time is already requested.
  if (wakeAt_ > now_ && wakeAt_ <= when) {
    return;
  }
  wakeAt_ = when;
  out_.Add(gpWakeAt{ when });
}

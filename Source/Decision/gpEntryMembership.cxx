#include "gpEntryMembership.h"

#include <algorithm>
#include <utility>

#include "gpEntryDispatch.h"

namespace {

/// Pause before the removal of the same guard is requested again.
constexpr gpMillis kRemovalRetry{ 5000 };

gpTimelineEvent
MemberEvent(gpEventKind aKind, const gpMember& aMember)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.peer_ = aMember.guard_;
  event.detail_ = aMember.address_.value_;
  return event;
}

} // namespace

gpEntryMembership::gpEntryMembership(gpTimings aTimings,
                                     const gpLinkTable& aLinks,
                                     gpGuardDirectory& aGuards,
                                     gpEntryDispatch& aDispatch)
  : timings_(aTimings)
  , links_(aLinks)
  , guards_(aGuards)
  , dispatch_(aDispatch)
{
}

void
gpEntryMembership::OnRoster(const gpRoster& aRoster,
                            gpTime aNow,
                            gpEffects& aOut)
{
  for (const auto& [incarnation, member] : aRoster.members_) {
    Learn(member, true, aNow, aOut);
  }
  for (auto& [incarnation, guard] : guards_.GetAll()) {
    if (guard.onRoster_ && !aRoster.members_.contains(incarnation)) {
      guard.onRoster_ = false;
      // A guard that has a link finishes the tasks that were sent to it. One
      // without a link is forgotten as soon as it has no open attempts.
      guard.leaving_ = true;
      aOut.Write(MemberEvent(gpEventKind::MemberRemoved, guard.member_));
    }
  }
  ForgetRemoved(aOut);
  gpTimelineEvent event;
  event.kind_ = gpEventKind::RosterInForce;
  event.number_ = aRoster.epoch_.value_;
  aOut.Write(std::move(event));
}

void
gpEntryMembership::OnDrains(const std::set<gpDrain>& aDrains)
{
  drains_ = aDrains;
  for (auto& [incarnation, guard] : guards_.GetAll()) {
    guard.drained_ = drains_.contains(gpDrain{ guard.member_.address_ });
  }
}

void
gpEntryMembership::OnAnnounced(const gpMember& aMember,
                               gpTime aNow,
                               gpEffects& aOut)
{
  Learn(aMember, false, aNow, aOut);
}

void
gpEntryMembership::OnGuardLink(gpLinkId aLink,
                               const gpPeer& aPeer,
                               gpTime aNow,
                               gpEffects& aOut)
{
  // Another incarnation at the same address proves that the earlier one has
  // ended.
  std::vector<gpGuardView*> endedGuards;
  for (auto& [incarnation, guard] : guards_.GetAll()) {
    if (guard.member_.address_ == aPeer.address_ &&
        incarnation != aPeer.incarnation_) {
      dispatch_.OnGuardEnded(guard, aOut);
      endedGuards.push_back(&guard);
    }
  }
  RequestRemoval(endedGuards, aNow, aOut);
  gpGuardView* guard = guards_.Find(aPeer.incarnation_);
  if (guard != nullptr) {
    SetLink(*guard, aLink, aOut);
  }
}

void
gpEntryMembership::OnLinkLost(gpIncarnation aGuard,
                              gpLinkId aLink,
                              gpTime aNow,
                              gpEffects& aOut)
{
  gpGuardView* guard = guards_.Find(aGuard);
  if (guard != nullptr && guard->link_ == aLink) {
    dispatch_.OnGuardLinkLost(*guard, aNow, aOut);
    ForgetRemoved(aOut);
  }
}

void
gpEntryMembership::OnTime(gpTime aNow, gpEffects& aOut)
{
  RemoveUnreachable(aNow, aOut);
  ForgetRemoved(aOut);
}

void
gpEntryMembership::Learn(const gpMember& aMember,
                         bool aOnRoster,
                         gpTime aNow,
                         gpEffects& aOut)
{
  const bool isNew = guards_.Find(aMember.guard_) == nullptr;
  gpGuardView& guard = guards_.Learn(aMember, aNow);
  if (aOnRoster && !guard.onRoster_) {
    guard.onRoster_ = true;
    guard.leaving_ = false;
  }
  guard.drained_ = drains_.contains(gpDrain{ aMember.address_ });
  if (!isNew) {
    return;
  }
  aOut.Write(MemberEvent(gpEventKind::MemberJoined, aMember));
  aOut.Add(gpWatchAddress{ aMember.address_ });
  const auto link = links_.FindLink(aMember.guard_);
  if (link.has_value()) {
    SetLink(guard, *link, aOut);
  }
}

void
gpEntryMembership::SetLink(gpGuardView& aGuard, gpLinkId aLink, gpEffects& aOut)
{
  aGuard.link_ = aLink;
  aGuard.unlinkedSince_.reset();
  aGuard.removalRequestedAt_.reset();
  dispatch_.OnGuardLinked(aGuard, aOut);
}

void
gpEntryMembership::ForgetRemoved(gpEffects& aOut)
{
  std::vector<gpMember> forgotten;
  for (const auto& [incarnation, guard] : guards_.GetAll()) {
    // For a guard that was announced and never on the roster, leaving_ comes
    // from its own slot report.
    const bool isDone = !guard.onRoster_ && guard.leaving_ &&
                        !guard.link_.has_value() && guard.inFlight_.empty();
    if (isDone) {
      forgotten.push_back(guard.member_);
    }
  }
  for (const gpMember& member : forgotten) {
    guards_.Forget(member.guard_);
    const bool stillUsed =
      std::ranges::any_of(guards_.GetAll(), [&](const auto& aEntry) {
        return aEntry.second.member_.address_ == member.address_;
      });
    if (!stillUsed) {
      aOut.Add(gpUnwatchAddress{ member.address_ });
    }
  }
}

void
gpEntryMembership::RemoveUnreachable(gpTime aNow, gpEffects& aOut)
{
  std::size_t onRoster = 0;
  std::size_t unreachable = 0;
  std::vector<gpGuardView*> late;
  for (auto& [incarnation, guard] : guards_.GetAll()) {
    if (!guard.onRoster_) {
      continue;
    }
    ++onRoster;
    if (!guard.unlinkedSince_.has_value()) {
      continue;
    }
    ++unreachable;
    if (*guard.unlinkedSince_ + timings_.memberRemoval_ <= aNow) {
      late.push_back(&guard);
    }
  }
  // An entry that can't reach most guards has more likely lost its own network
  // connection, so it requests no removals.
  if (unreachable * 2 <= onRoster) {
    RequestRemoval(late, aNow, aOut);
  }
}

void
gpEntryMembership::RequestRemoval(const std::vector<gpGuardView*>& aGuards,
                                  gpTime aNow,
                                  gpEffects& aOut)
{
  gpRemoveMembers removal;
  for (gpGuardView* guard : aGuards) {
    const bool isDue = !guard->removalRequestedAt_.has_value() ||
                       *guard->removalRequestedAt_ + kRemovalRetry <= aNow;
    if (guard->onRoster_ && isDue) {
      guard->removalRequestedAt_ = aNow;
      removal.guards_.push_back(guard->member_.guard_);
    }
  }
  if (!removal.guards_.empty()) {
    aOut.Add(std::move(removal));
  }
}

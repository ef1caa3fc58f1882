#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "gpConfiguration.h"
#include "gpEffect.h"
#include "gpEvent.h"
#include "gpGuardClaims.h"
#include "gpGuardStarts.h"
#include "gpLinkTable.h"
#include "gpMember.h"
#include "gpProcessSettings.h"

/** \class gpGuardStatus
 * \brief The state of a guard for its status page.
 */
struct gpGuardStatus
{
  gpRosterEpoch rosterEpoch_;
  /// Open calls to the target.
  std::uint32_t running_ = 0;
  std::uint32_t freeSlots_ = 0;
  /// Claims that the guard stores.
  std::size_t claims_ = 0;
  /// Tasks of which the guard remembers a start or a refusal.
  std::size_t startRecords_ = 0;
  /// Claim partitions of which the guard is a replica.
  std::size_t partitionsHeld_ = 0;
  /// Those of them in which it isn't complete, so it grants no claims.
  std::size_t partitionsAbstaining_ = 0;
  /// Whether the target accepts no new tasks.
  bool leaving_ = false;
};

/** \class gpGuardReducer
 * \brief Makes all decisions of a guard, as a function (state, event) ->
 * effects.
 *
 * It reads no clock, opens no socket and uses no random numbers, so that a
 * sequence of events always has the same effects.
 */
class gpGuardReducer
{
public:
  /// aSelf describes this guard without the service and the slots, which come
  /// from the announcement of the target.
  gpGuardReducer(gpMember aSelf, gpTimings aTimings);

  std::vector<gpEffect> Reduce(const gpGuardEvent& aEvent);
  gpGuardStatus GetStatus() const;

private:
  void On(const gpLinkOpened& aEvent);
  void On(const gpLinkLost& aEvent);
  void On(const gpDialFailed& aEvent);
  void On(const gpMessageReceived& aEvent);
  void On(const gpConfigurationChanged& aEvent);
  void On(const gpRosterChanged& aEvent);
  void On(const gpLogContacted& aEvent);
  void On(const gpTimePassed& aEvent);
  void On(const gpShutdownRequested& aEvent);
  void On(const gpTargetAnnounced& aEvent);
  void On(const gpTargetLeft& aEvent);
  void On(const gpTargetReplied& aEvent);

  void OnMessage(gpLinkId aLink, const gpClaimRequest& aMessage);
  void OnMessage(gpLinkId aLink, const gpClaimQuery& aMessage);
  void OnMessage(gpLinkId aLink, const gpClaimWithdraw& aMessage);
  void OnMessage(gpLinkId aLink, const gpClaimOutcome& aMessage);
  void OnMessage(gpLinkId aLink, const gpCopyRequest& aMessage);
  void OnMessage(gpLinkId aLink, const gpCopyReply& aMessage);
  void OnMessage(gpLinkId aLink, const gpStart& aMessage);
  void OnMessage(gpLinkId aLink, const gpResolve& aMessage);
  void OnMessage(gpLinkId aLink, const gpCancel& aMessage);
  /// Ignores a message that only entries handle.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  /// Sends the announcement of the target on the link, unless it is leaving.
  void Announce(gpLinkId aLink);
  /// Applies the drains and the service's claim settings.
  void ApplyConfiguration();
  /// Releases a target that left once it has no more calls. During a shutdown,
  /// requests the removal of this guard and then ends the process.
  void ContinueLeaving();
  /// Requests a gpTimePassed event for the next time at which work is due.
  void ScheduleWake();

  gpMember self_;
  gpTimings timings_;
  gpTime now_;
  gpEffects out_;
  gpLinkTable links_;
  gpGuardClaims claims_;
  gpGuardStarts starts_;
  std::optional<gpConfiguration> configuration_;
  /// Links that this guard dialed to entries, only to announce its target.
  std::set<gpLinkId> announceLinks_;
  /// Whether the target has announced itself.
  bool announced_ = false;
  /// Whether the target has asked to leave.
  bool targetLeft_ = false;
  /// Whether the target was informed that it has no more tasks in flight.
  bool targetReleased_ = false;
  bool shutdown_ = false;
  /// Whether the guard has requested its own removal from the roster.
  bool removalRequested_ = false;
  bool stopped_ = false;
  /// The latest time at which the process ends, once a shutdown was requested.
  gpTime shutdownEnd_;
  /// When the process ends, once its removal from the roster was requested.
  /// Until then new replicas can copy its claims.
  gpTime lingerEnd_;
  /// Time of the last gpTimePassed event.
  gpTime lastWake_;
  gpTime nextHeartbeat_;
  /// The time last requested with gpWakeAt.
  gpTime wakeAt_;
};

#pragma once

#include <cstdint>
#include <vector>

#include "gpEffect.h"
#include "gpEntryAttachments.h"
#include "gpEntryClaims.h"
#include "gpEntryDispatch.h"
#include "gpEntryJobs.h"
#include "gpEntryMembership.h"
#include "gpEvent.h"
#include "gpGuardDirectory.h"
#include "gpJobTable.h"
#include "gpLinkTable.h"
#include "gpPeer.h"
#include "gpProcessSettings.h"

/** \class gpEntryStatus
 * \brief The state of an entry for its status page.
 */
struct gpEntryStatus
{
  gpRosterEpoch rosterEpoch_;
  /// Jobs that have not ended.
  std::size_t jobs_ = 0;
  /// Tasks that wait to be sent.
  std::size_t waiting_ = 0;
  /// Attempts that were sent and have no result yet.
  std::size_t inFlight_ = 0;
  /// Guards on the current roster.
  std::size_t members_ = 0;
  /// Guards that this entry has a link to.
  std::size_t linked_ = 0;
  /// Guards whose target is ejected.
  std::size_t ejected_ = 0;
  /// Whether the entry accepts jobs.
  bool ready_ = false;
};

/** \class gpEntryReducer
 * \brief Makes all decisions of an entry, as a function (state, event) ->
 * effects.
 *
 * It reads no clock and opens no socket. Its random numbers derive from the
 * given seed, so that a sequence of events always has the same effects.
 */
class gpEntryReducer
{
public:
  gpEntryReducer(const gpPeer& aSelf, gpTimings aTimings, std::uint64_t aSeed);

  std::vector<gpEffect> Reduce(const gpEntryEvent& aEvent);
  gpEntryStatus GetStatus() const;

private:
  void On(const gpJobSubmitted& aEvent);
  void On(const gpJobQueried& aEvent);
  void On(const gpCallerDisconnected& aEvent);
  void On(const gpLinkOpened& aEvent);
  void On(const gpLinkLost& aEvent);
  void On(const gpDialFailed& aEvent);
  void On(const gpMessageReceived& aEvent);
  void On(const gpConfigurationChanged& aEvent);
  void On(const gpRosterChanged& aEvent);
  void On(const gpTimePassed& aEvent);
  void On(const gpShutdownRequested& aEvent);

  void OnMessage(gpLinkId aLink, const gpClaimReply& aMessage);
  void OnMessage(gpLinkId aLink, const gpAttachRequest& aMessage);
  void OnMessage(gpLinkId aLink, const gpAttachReply& aMessage);
  void OnMessage(gpLinkId aLink, const gpStartRefused& aMessage);
  void OnMessage(gpLinkId aLink, const gpStartResult& aMessage);
  void OnMessage(gpLinkId aLink, const gpResolveReply& aMessage);
  void OnMessage(gpLinkId aLink, const gpSlotReport& aMessage);
  void OnMessage(gpLinkId aLink, const gpAnnounce& aMessage);
  /// Ignores a message that only guards handle.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  /// The guard at the other end of the link; null if the link or the guard is
  /// unknown.
  gpGuardView* FindGuard(gpLinkId aLink);
  /// Passes the results of claims, attachments and dispatch on to the jobs
  /// until there are none left. A result may cause further ones.
  void ProcessResults();
  /// Sends the collected cancels, one message per guard, once no caller has
  /// disconnected for a while.
  void SendCancels();
  /// During a shutdown, fails the open jobs once the time limit has passed, and
  /// ends the process once no job is open.
  void ContinueShutdown();
  /// Requests a gpTimePassed event for the next time at which work is due.
  void ScheduleWake();

  gpTimings timings_;
  gpTime now_;
  gpEffects out_;
  gpLinkTable links_;
  gpJobTable jobTable_;
  gpGuardDirectory guards_;
  gpEntryClaims claims_;
  gpEntryAttachments attachments_;
  gpEntryDispatch dispatch_;
  gpEntryMembership membership_;
  gpEntryJobs jobs_;
  /// When the open jobs fail, once a shutdown was requested; gpTime::max()
  /// before.
  gpTime shutdownEnd_ = gpTime::max();
  /// When the first of the collected cancels was added; gpTime::max() if none
  /// is collected.
  gpTime firstCancelAt_ = gpTime::max();
  /// When the last caller disconnected.
  gpTime lastDisconnectAt_;
  /// When the collected cancels will be sent; gpTime::max() if none is
  /// collected.
  gpTime cancelsAt_ = gpTime::max();
  bool stopped_ = false;
  gpTime lastHeartbeat_;
  /// The time last requested with gpWakeAt.
  gpTime wakeAt_;
};

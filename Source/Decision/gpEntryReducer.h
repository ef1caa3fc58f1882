#pragma once

#include <cstdint>
#include <vector>

#include "gpEffect.h"
#include "gpEntryClaims.h"
#include "gpEntryDispatch.h"
#include "gpEntryFollows.h"
#include "gpEntryJobs.h"
#include "gpEntryMembership.h"
#include "gpEvent.h"
#include "gpGuardDirectory.h"
#include "gpJobTable.h"
#include "gpLinkBook.h"
#include "gpPeer.h"
#include "gpProcessSettings.h"

/** \class gpEntryStatus
 * \brief What an entry shows of itself.
 */
struct gpEntryStatus
{
  gpRosterEpoch rosterEpoch_;
  std::size_t jobs_ = 0;
  std::size_t waiting_ = 0;
  std::size_t inFlight_ = 0;
  std::size_t members_ = 0;
  std::size_t linked_ = 0;
  std::size_t ejected_ = 0;
  bool ready_ = false;
};

/** \class gpEntryReducer
 * \brief All decisions of an entry: (state, event) -> effects.
 *
 * It reads no clock and opens no socket; its random numbers come from the
 * seed that it's given.
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
  void On(const gpCallerGone& aEvent);
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
  /// A message that entries don't take.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  /// The guard at the other end of the link; null if it's none that's known.
  gpGuardView* FindGuard(gpLinkId aLink);
  /// Carries results between the parts until there are none left.
  void Settle();
  /// Sends the cancels of a wave together, one message a guard.
  void SendCancels();
  void ContinueShutdown();
  void ScheduleWake();

  gpTimings timings_;
  gpTime now_;
  gpEffects out_;
  gpLinkBook links_;
  gpJobTable jobTable_;
  gpGuardDirectory guards_;
  gpEntryClaims claims_;
  gpEntryFollows follows_;
  gpEntryDispatch dispatch_;
  gpEntryMembership membership_;
  gpEntryJobs jobs_;
  gpTime shutdownEnd_ = gpTime::max();
  /// When the first of the cancels that are collected came.
  gpTime firstCancelAt_ = gpTime::max();
  gpTime lastCallerGoneAt_;
  /// When the cancels that were collected are sent.
  gpTime cancelsAt_ = gpTime::max();
  bool stopped_ = false;
  gpTime lastHeartbeat_;
  /// The time last asked for with gpWakeAt.
  gpTime wakeAt_;
};

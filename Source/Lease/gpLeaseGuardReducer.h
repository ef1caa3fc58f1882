#pragma once

#include <cstdint>
#include <vector>

#include "gpEntryLinks.h"
#include "gpLeaseEvent.h"
#include "gpLookSchedule.h"
#include "gpRunStopper.h"
#include "gpRunTable.h"
#include "gpTargetSession.h"
#include "gpTargetSpeed.h"

/** \class gpLeaseGuardOptions
 * \brief What a guard for best-effort jobs is told at its start.
 */
struct gpLeaseGuardOptions
{
  /// Unlike that of other guards; decides with its choice of entries.
  std::string name_;
  gpServiceName service_;
  gpDataCentreName dataCentre_;
  /// Entries to be linked with.
  std::size_t links_ = 8;
  /// Higher than the fence of any former incarnation.
  std::uint64_t fence_ = 0;
  /// Longest time for the end of the runs at a shutdown.
  gpMillis shutdown_{ 0 };
};

/** \class gpLeaseGuardStatus
 * \brief What a guard shows of itself.
 */
struct gpLeaseGuardStatus
{
  std::size_t runs_ = 0;
  std::size_t entries_ = 0;
  bool targetKnown_ = false;
  bool takesWork_ = false;
};

/** \class gpLeaseGuardReducer
 * \brief All decisions of a guard for best-effort jobs: starts and stops runs
 * at its target for the entries, and keeps the target's lease.
 *
 * A run whose entry is gone is stopped. A start without an answer is settled
 * by a stop, repeated until it's answered: after it the target refuses the run.
 */
class gpLeaseGuardReducer
{
public:
  explicit gpLeaseGuardReducer(gpLeaseGuardOptions aOptions);

  std::vector<gpLeaseEffect> Reduce(const gpLeaseGuardEvent& aEvent);
  gpLeaseGuardStatus GetStatus() const;

private:
  void On(const gpEntriesFound& aEvent);
  void On(const gpLinkOpened& aEvent);
  void On(const gpLinkLost& aEvent);
  void On(const gpDialFailed& aEvent);
  void On(const gpMessageReceived& aEvent);
  void On(const gpTargetHeard& aEvent);
  void On(const gpTargetEnded& aEvent);
  void On(const gpStartReplied& aEvent);
  void On(const gpStopReplied& aEvent);
  void On(const gpTargetSeen& aEvent);
  void On(const gpTimePassed& aEvent);
  void On(const gpShutdownRequested& aEvent);

  void OnMessage(gpLinkId aLink, const gpRunOrder& aMessage);
  void OnMessage(gpLinkId aLink, const gpRunCancel& aMessage);
  void OnMessage(gpLinkId aLink, const gpEntryNews& aMessage);
  /// A message that these guards don't take.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  /// Closes all links if the process was not scheduled for too long.
  void CheckPause();
  bool TakesWork() const;
  void StartOne(gpLinkId aLink, const gpRunOrder& aOrder, const gpRunId& aRun);
  /// The run is over: tells its entry and frees its room.
  void Finish(const gpRunId& aRun, gpRunEnd aEnd);
  /// Nothing runs at the target any more.
  void FinishAll();
  /// Ends the runs that a look sent at that time didn't show as running.
  void FinishOver(gpTime aSentAt, const std::vector<gpRunId>& aRunning);
  /// The target is another incarnation. Under another ID it can't have taken
  /// any order; under the same one, the last orders may be at work there.
  void OnOtherTarget(bool aIsSameId);
  void Refuse(gpLinkId aLink, const gpRunId& aRun, gpRunEnd aReason);
  /// Looks at the target if it's time, which also renews its lease.
  void Look();
  gpTargetNews MakeNews() const;
  /// What is the same for all entries.
  gpRoomReport MakeRoom() const;
  void ContinueShutdown();
  void ScheduleWake();
  void WriteTarget(gpEventKind aKind, const std::string& aDetail);
  void WriteRun(gpEventKind aKind,
                const gpRunId& aRun,
                const std::string& aDetail);

  gpLeaseGuardOptions options_;
  gpTime now_;
  gpLeaseEffects out_;
  gpEntryLinks links_;
  gpTargetSession target_;
  gpRunTable runs_;
  gpRunStopper stopper_;
  gpLookSchedule looks_;
  gpTargetSpeed speed_;
  std::uint64_t seenEnds_ = 0;
  gpTime lastEventAt_;
  gpTime wakeAt_;
  gpTime shutdownEnd_ = gpTime::max();
  bool stopped_ = false;
};

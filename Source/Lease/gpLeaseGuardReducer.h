#pragma once

#include <cstdint>
#include <vector>

#include "gpCrashReporter.h"
#include "gpEndEvidence.h"
#include "gpEntryLinks.h"
#include "gpLeaseEvent.h"
#include "gpPollSchedule.h"
#include "gpRunStopper.h"
#include "gpRunTable.h"
#include "gpStartQueue.h"
#include "gpTargetClaims.h"
#include "gpTargetSession.h"
#include "gpTargetSpeed.h"

/** \class gpLeaseGuardOptions
 * \brief Start options of a guard for best-effort jobs.
 */
struct gpLeaseGuardOptions
{
  /// Seed of the guard's choice of entries; differs between guards.
  std::string name_;
  gpServiceName service_;
  gpDataCentreName dataCentre_;
  /// Number of entries to be linked with.
  std::size_t links_ = 8;
  /// Initial fence; it must be higher than any fence of earlier incarnations.
  std::uint64_t fence_ = 0;
  /// Longest time that a shutdown waits for runs to end.
  gpMillis shutdown_{ 0 };
};

/** \class gpLeaseGuardStatus
 * \brief The state of a guard, for its status page and metrics.
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
 * at its target on orders of entries, and renews the target's lease.
 *
 * When the link to an entry is lost, the entry's runs are stopped. A start
 * without an answer is followed by a stop, which is repeated until it's
 * answered; from then on the target refuses to start that run, so it's known
 * not to be running.
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
  void On(const gpHeartbeatReceived& aEvent);
  void On(const gpTargetRecordRead& aEvent);
  void On(const gpTargetEnded& aEvent);
  void On(const gpStartReplied& aEvent);
  void On(const gpStopReplied& aEvent);
  void On(const gpPollReplied& aEvent);
  void On(const gpTargetIdentified& aEvent);
  void On(const gpTimePassed& aEvent);
  void On(const gpShutdownRequested& aEvent);

  void OnMessage(gpLinkId aLink, const gpRunOrder& aMessage);
  void OnMessage(gpLinkId aLink, const gpRunCancel& aMessage);
  void OnMessage(gpLinkId aLink, const gpEntryUpdate& aMessage);
  /// Ignores message types that guards for best-effort jobs don't handle.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  /// Closes all links and stops all runs if the process was not scheduled for
  /// kLongestPause or longer, as its entries may already have closed the links
  /// and count the runs as ended.
  void CheckPause();
  /// Whether the target's capacity is known well enough to fill it, if the
  /// target itself doesn't refuse what doesn't fit: it may shrink at any time.
  bool IsCapacityCurrent() const;
  /// Whether the target's runs may go on. While the target is silent, or a stop
  /// has no answer for too long, its lease is to end them.
  bool MayRenewLease() const;
  bool TakesWork() const;
  /// Why a run isn't started while TakesWork is false.
  gpRunEnd WhyNoWork() const;
  /// Admits a run to the queue of starts, or refuses it.
  void AdmitOne(gpLinkId aLink,
                const gpRunOrder& aOrder,
                const gpStartQueue::Start& aStart);
  /// Sends the next starts of the queue to the target.
  void SendStarts();
  /// The call to start the run ended.
  void NoteStarted(gpGuardRun& aRun, gpOrderReply aReply);
  /// The run has ended: reports it to its entry and frees its capacity.
  void Finish(const gpRunId& aRun, gpRunEnd aEnd, gpEndEvidence aEvidence);
  /// Ends all runs, after it has become certain that none is running.
  void FinishAll(gpEndEvidence aEvidence);
  /// Ends the runs that a poll sent at aSentAt would have listed if they were
  /// still running, but didn't.
  void FinishEnded(gpTime aSentAt, const std::vector<gpRunId>& aRunning);
  /// Another incarnation of the target was detected. Under another ID it can't
  /// have accepted orders of this guard, so all runs have ended. Under the same
  /// ID, orders sent last may have reached it, so all runs are stopped.
  void OnNewIncarnation(bool aIsSameId);
  /// Asks the target whether it is an incarnation that a heartbeat claims.
  void AskForClaims();
  void DropOldClaims();
  /// The target has answered under this ID as the incarnation of this start
  /// time.
  void SettleClaims(const gpTargetIdentified& aEvent);
  /// Handles a heartbeat that arrived at aToldAt, of the present incarnation:
  /// the known one, or one that the target has confirmed.
  void Accept(const gpTargetAnnouncement& aTarget, gpTime aToldAt);
  /// A call to the target ended. While it's not certain which incarnation has
  /// answered, the answer doesn't show that the known one lives.
  void NoteReply(gpOrderReply aReply);
  void Announce(const gpTargetAnnouncement& aTarget);
  /// Stores what is known of the target, unless the record in the store says
  /// the same.
  void UpdateRecord();
  void Refuse(gpLinkId aLink, const gpRunId& aRun, gpRunEnd aReason);
  /// Polls the target if a poll is due, and renews its lease if it has runs
  /// that may go on.
  void Poll();
  gpTargetUpdate MakeTargetUpdate() const;
  /// The part of the capacity report that is the same for all entries.
  gpCapacityReport MakeCapacityReport() const;
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
  gpTargetClaims claims_;
  gpRunTable runs_;
  gpStartQueue starts_;
  gpRunStopper stopper_;
  gpPollSchedule pollSchedule_;
  gpTargetSpeed speed_;
  gpCrashReporter crashReporter_;
  /// Crashes of other targets as well, of which entries have told. Entries that
  /// link are told of them, as all that counted them may have been killed.
  gpRecentCrashes toldCrashes_{ gpCrashReporter::kKeepTime };
  /// The announcement in the store, if this process knows it.
  std::optional<gpTargetRecord> record_;
  /// Whether the target itself refuses what doesn't fit, by the last order.
  bool capacityEnforced_ = false;
  /// When a heartbeat has told the target's capacity last; not set if it's
  /// known from the store alone.
  std::optional<gpTime> capacityToldAt_;
  std::uint64_t seenEnds_ = 0;
  gpTime lastEventAt_;
  gpTime wakeAt_;
  gpTime shutdownEnd_ = gpTime::max();
  bool stopped_ = false;
};

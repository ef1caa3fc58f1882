#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gpEffect.h"
#include "gpEvent.h"
#include "gpIds.h"
#include "gpLinkTable.h"
#include "gpStartLedger.h"
#include "gpStartMessages.h"
#include "gpTime.h"

/** \class gpGuardStarts
 * \brief The guard's side of starting tasks: admits tasks to the slots of its
 * target, calls the target and reports the results.
 */
class gpGuardStarts
{
public:
  explicit gpGuardStarts(const gpLinkTable& aLinks);

  /// Sets how long the guard remembers which tasks it started.
  void SetRetention(gpMillis aRetention) { ledger_.SetRetention(aRetention); }
  void OnAnnounced(const gpTargetAnnounced& aTarget, gpEffects& aOut);
  /// Stops starting tasks: refuses the waiting ones and reports to all entries
  /// that the target is leaving.
  void Leave(gpTime aNow, gpEffects& aOut);
  /// Starts tasks again, for a target that had left and has announced itself
  /// again.
  void CancelLeave(gpEffects& aOut);
  /// Sets whether the configuration drains the target. A drained target gets no
  /// new tasks.
  void SetDrained(bool aDrained, gpTime aNow, gpEffects& aOut);

  void OnEntryLink(gpLinkId aLink, gpEffects& aOut);
  void OnLinkLost(gpLinkId aLink) { reportedFree_.erase(aLink); }
  void OnStart(gpLinkId aLink,
               const gpStart& aStart,
               gpTime aNow,
               gpEffects& aOut);
  void OnResolve(gpLinkId aLink,
                 const gpResolve& aResolve,
                 gpTime aNow,
                 gpEffects& aOut);
  void OnCancel(gpLinkId aLink,
                const gpCancel& aCancel,
                gpTime aNow,
                gpEffects& aOut);
  void OnReplied(const gpTargetReplied& aReply, gpTime aNow, gpEffects& aOut);
  /// Expires records, and reports the free slots to each entry whose last
  /// report is outdated.
  void OnHeartbeat(gpTime aNow, gpEffects& aOut);

  bool IsLeaving() const { return leaving_ || drained_; }
  std::uint32_t CountRunning() const
  {
    return static_cast<std::uint32_t>(running_.size());
  }
  /// Slots that are neither running a task nor needed by a waiting one; zero
  /// while the target is leaving or drained.
  std::uint32_t CountFree() const;
  std::uint32_t GetSlots() const { return slots_; }
  std::size_t CountRecords() const { return ledger_.GetSize(); }

private:
  /// A task that waits for a slot. Entries don't know of each other's starts,
  /// so more tasks may arrive than there are free slots.
  struct Pending
  {
    gpStart start_;
    gpTime arrivedAt_;
  };

  /// Calls the target for the task, which takes a slot.
  void Call(gpStart aStart, gpEffects& aOut);
  /// Starts waiting tasks while there are free slots.
  void StartPending(gpTime aNow, gpEffects& aOut);
  /// Refuses all waiting tasks, none of which was run.
  void RefusePending(gpRefusal aReason, gpTime aNow, gpEffects& aOut);
  /// Removes the attempt from the waiting tasks. False if it isn't waiting.
  bool RemovePending(const gpAttemptId& aAttempt);
  /// Refuses an attempt, and sends the refusal only if the entry of the attempt
  /// still has a link.
  void RefuseIfLinked(const gpAttemptId& aAttempt,
                      gpRefusal aReason,
                      gpTime aNow,
                      gpEffects& aOut);
  /// The reason to refuse the task; not set if it may start now or wait for a
  /// slot.
  std::optional<gpRefusal> FindRefusal(const gpStart& aStart) const;
  void Refuse(gpLinkId aLink,
              const gpAttemptId& aAttempt,
              gpRefusal aReason,
              gpTime aNow,
              gpEffects& aOut);
  /// Logs the end of the task and sends the result to the entry of the task, if
  /// the entry has a link.
  void Report(const gpStartResult& aResult, gpEffects& aOut);
  /// Sends the stored result of a task that was started before, if there is
  /// one.
  void AnswerDuplicate(gpLinkId aLink,
                       const gpAttemptId& aAttempt,
                       gpEffects& aOut);
  /// The number of free slots, which is also recorded as last reported on this
  /// link.
  std::uint32_t NoteReportedFree(gpLinkId aLink);
  void ReportSlots(gpLinkId aLink, gpEffects& aOut);
  void ReportSlotsToAll(gpEffects& aOut);
  /// If a slot is free, sends a slot report to the entry that has waited the
  /// longest since a refusal for lack of a free slot.
  void OfferFreedSlot(gpEffects& aOut);

  const gpLinkTable& links_;
  gpStartLedger ledger_;
  gpAddress target_;
  std::uint32_t slots_ = 0;
  bool leaving_ = false;
  bool drained_ = false;
  std::set<gpAttemptId> running_;
  std::deque<Pending> pending_;
  /// Entries that were refused for lack of a free slot, the longest waiting
  /// first.
  std::vector<gpIncarnation> refusedEntries_;
  /// The number of free slots that was last reported on each link.
  std::map<gpLinkId, std::uint32_t> reportedFree_;
};

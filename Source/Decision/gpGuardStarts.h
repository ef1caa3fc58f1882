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
#include "gpLinkBook.h"
#include "gpStartLedger.h"
#include "gpStartMessages.h"
#include "gpTime.h"

/** \class gpGuardStarts
 * \brief A guard's part in the start of tasks: admits them to the slots of its
 * target, calls the target and reports how they ended.
 */
class gpGuardStarts
{
public:
  explicit gpGuardStarts(const gpLinkBook& aLinks);

  /// How long the guard remembers which tasks it started.
  void SetRetention(gpMillis aRetention) { ledger_.SetRetention(aRetention); }
  void OnAnnounced(const gpTargetAnnounced& aTarget, gpEffects& aOut);
  /// From now on nothing new is started. Reports it to all entries.
  void Leave(gpTime aNow, gpEffects& aOut);
  /// The target came back after it had left.
  void Return(gpEffects& aOut);
  /// The target is drained by the configuration, or no longer is.
  void SetDrained(bool aDrained, gpTime aNow, gpEffects& aOut);

  void OnEntryLink(gpLinkId aLink, gpEffects& aOut);
  void OnLinkLost(gpLinkId aLink) { toldFree_.erase(aLink); }
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
  /// Expires records, and corrects what entries believe of the free slots.
  void OnHeartbeat(gpTime aNow, gpEffects& aOut);

  bool IsLeaving() const { return leaving_ || drained_; }
  std::uint32_t CountRunning() const
  {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t CountFree() const;
  std::uint32_t GetSlots() const { return slots_; }
  std::size_t CountRecords() const { return ledger_.GetSize(); }

private:
  /// A task that waits for a slot. Entries can't know of each other's starts,
  /// so more may arrive than there are free slots.
  struct Pending
  {
    gpStart start_;
    gpTime arrivedAt_;
  };

  void Call(gpStart aStart, gpEffects& aOut);
  /// Starts waiting tasks while there are slots.
  void StartPending(gpTime aNow, gpEffects& aOut);
  /// Refuses all waiting tasks; they were not run.
  void RefusePending(gpRefusal aReason, gpTime aNow, gpEffects& aOut);
  /// Takes the attempt off the waiting tasks. False if it doesn't wait.
  bool RemovePending(const gpAttemptId& aAttempt);
  /// Refuses an attempt whose entry may not be linked any more.
  void RefuseIfLinked(const gpAttemptId& aAttempt,
                      gpRefusal aReason,
                      gpTime aNow,
                      gpEffects& aOut);
  /// A reason not to take it; not set if it may start now or wait.
  std::optional<gpRefusal> FindRefusal(const gpStart& aStart) const;
  void Refuse(gpLinkId aLink,
              const gpAttemptId& aAttempt,
              gpRefusal aReason,
              gpTime aNow,
              gpEffects& aOut);
  /// Tells the entry of the task that it has ended, if the entry is linked.
  void Report(const gpStartResult& aResult, gpEffects& aOut);
  void AnswerDuplicate(gpLinkId aLink,
                       const gpAttemptId& aAttempt,
                       gpEffects& aOut);
  /// The free slots, noted as what the entry of the link now believes.
  std::uint32_t TellFree(gpLinkId aLink);
  void ReportSlots(gpLinkId aLink, gpEffects& aOut);
  void ReportSlotsToAll(gpEffects& aOut);
  /// Tells the next entry that was refused for want of a slot.
  void OfferFreedSlot(gpEffects& aOut);

  const gpLinkBook& links_;
  gpStartLedger ledger_;
  gpAddress target_;
  std::uint32_t slots_ = 0;
  bool leaving_ = false;
  bool drained_ = false;
  std::set<gpAttemptId> running_;
  std::deque<Pending> pending_;
  /// Entries that were refused for want of a slot, longest waiting first.
  std::vector<gpIncarnation> refusedEntries_;
  /// The free slots that each entry was told last.
  std::map<gpLinkId, std::uint32_t> toldFree_;
};

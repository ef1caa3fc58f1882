#pragma once

#include <vector>

#include "gpCrashLedger.h"
#include "gpLeaseEvent.h"
#include "gpQueueContainment.h"
#include "gpRecentCrashes.h"

/** \class gpCrashMonitor
 * \brief What an entry knows about crashes of targets: how many each task may
 * have caused, and which queues are contained. Logs what changes.
 */
class gpCrashMonitor
{
public:
  /// A guard or another entry told of a crash. Contains the queues whose tasks
  /// have probably caused it. Returns what is new about the crash.
  gpCrashNovelty Learn(const gpTargetCrash& aCrash,
                       gpTime aNow,
                       gpLeaseEffects& aOut);
  /// Contains the queues that another entry contains.
  void Adopt(const std::vector<gpContainedQueue>& aQueues,
             gpTime aNow,
             gpLeaseEffects& aOut);
  /// Releases contained queues, see gpQueueContainment::Release.
  void ReleaseQueues(
    const std::function<bool(const gpServiceName&)>& aHasTarget,
    gpTime aNow,
    gpLeaseEffects& aOut);
  /// Forgets what is too old, once a second.
  void DropOld(gpTime aNow);
  /// Adds what another entry has to know when it links.
  void AddTo(gpEntryUpdate& aUpdate) const;

  const gpCrashLedger& GetLedger() const { return ledger_; }
  const gpQueueContainment& GetContainment() const { return containment_; }

private:
  /// How long an entry that links later is told of a crash.
  static constexpr gpMillis kKeepTime{ 60000 };

  /// The crash with other suspects, if a contained queue explains it: its tasks
  /// alone.
  gpTargetCrash Suspect(gpTargetCrash aCrash) const;
  void ContainQueues(const gpTargetCrash& aCrash,
                     gpTime aNow,
                     gpLeaseEffects& aOut);

  gpCrashLedger ledger_;
  gpQueueContainment containment_;
  gpRecentCrashes recent_{ kKeepTime };
  /// When DropOld is due next.
  gpTime dropAt_;
};

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gpConfiguration.h"
#include "gpIds.h"
#include "gpMember.h"
#include "gpStartMessages.h"
#include "gpTargetHealth.h"
#include "gpTime.h"

/** \class gpGuardView
 * \brief The state of one guard and its target, as known to an entry.
 */
struct gpGuardView
{
  gpMember member_;
  /// Whether the guard is on the current roster. If not, it was only announced,
  /// or was removed from the roster.
  bool onRoster_ = false;
  /// Not set while there is no link to the guard.
  std::optional<gpLinkId> link_;
  /// When the link was lost, or when the guard became known if it has never
  /// been linked. Not set while it is linked.
  std::optional<gpTime> unlinkedSince_;
  /// The guard accepts no new tasks, or was removed from the roster.
  bool leaving_ = false;
  /// The configuration drains the guard's target, so it gets no new tasks.
  bool drained_ = false;
  /// Number of tasks that the target runs at the same time.
  std::uint32_t slots_ = 0;
  /// The number of slots that other entries used at the last report of the
  /// guard, and the time of that report.
  std::uint32_t usedByOthers_ = 0;
  gpTime reportedAt_;
  /// The guard refused a task for lack of a free slot and will report the next
  /// free one. Until then this entry must not estimate its free slots.
  bool awaitsOffer_ = false;
  /// Attempts sent to this guard that have no result yet.
  std::set<gpAttemptId> inFlight_;
  /// Whether the target is ejected.
  gpTargetHealth health_;
  /// Moving average of the run times of this target; zero before the first
  /// result.
  gpMicros meanRun_{ 0 };
  /// Moving average of the time from sending a task to its result, without the
  /// run time.
  gpMicros overhead_{ 0 };
  /// When this entry last requested the removal of the guard from the roster.
  std::optional<gpTime> removalRequestedAt_;

  /// Estimate of the free slots that this entry may use now. It assumes that
  /// the tasks that other entries were running at the last report end at a
  /// constant rate, all within one mean run time.
  std::uint32_t EstimateFreeSlots(gpTime aNow) const;
  /// Updates the number of slots that other entries use, from the free slots
  /// that the guard reported.
  void NoteFree(std::uint32_t aFree, gpTime aNow);
};

/** \class gpGuardDirectory
 * \brief The guards that an entry knows, with their state and run times.
 */
class gpGuardDirectory
{
public:
  /// Adds the guard if it's new, else updates its member record.
  gpGuardView& Learn(const gpMember& aMember, gpTime aNow);
  /// Removes the guard.
  void Forget(gpIncarnation aGuard);
  gpGuardView* Find(gpIncarnation aGuard);
  std::map<gpIncarnation, gpGuardView>& GetAll() { return guards_; }
  const std::map<gpIncarnation, gpGuardView>& GetAll() const { return guards_; }

  /// Guards that accept tasks of the service: they are linked and neither
  /// leaving nor drained. They may have no free slot at present.
  std::vector<gpGuardView*> ListUsable(const gpServiceName& aService);
  /// Updates the run times of the guard and its service from a result.
  void NoteRun(gpGuardView& aGuard, gpMicros aRun, gpMicros aTotal);
  /// Moving average of the run times of the service.
  gpMicros GetMeanRun(const gpServiceName& aService) const;
  /// Whether one more target of the service may be ejected without exceeding
  /// aMaxPercent of the linked targets.
  bool MayEject(const gpServiceName& aService, std::uint32_t aMaxPercent) const;

private:
  std::map<gpIncarnation, gpGuardView> guards_;
  /// The guards of each service. The pointers stay valid because guards_ is a
  /// node-based map.
  std::map<gpServiceName, std::vector<gpGuardView*>> byService_;
  std::map<gpServiceName, gpMicros> meanRuns_;
};

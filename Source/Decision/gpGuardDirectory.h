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
 * \brief One guard and its target, as an entry sees them.
 */
struct gpGuardView
{
  gpMember member_;
  /// On the roster in force; otherwise only announced, or removed since.
  bool onRoster_ = false;
  /// Not set while the guard can't be reached.
  std::optional<gpLinkId> link_;
  /// Since when the guard is not linked; not set while it is.
  std::optional<gpTime> unlinkedSince_;
  bool leaving_ = false;
  bool drained_ = false;
  std::uint32_t slots_ = 0;
  /// Slots that other entries were using when the guard last reported, and
  /// when that was.
  std::uint32_t usedByOthers_ = 0;
  gpTime reportedAt_;
  /// The guard refused for want of a slot and will offer the next free one, so
  /// this entry must not guess.
  bool awaitsOffer_ = false;
  /// Attempts sent here that have not ended.
  std::set<gpAttemptId> inFlight_;
  gpTargetHealth health_;
  /// Learned mean run time of a task; zero before the first.
  gpMicros meanRun_{ 0 };
  /// Learned time of a start and its answer beyond the run time.
  gpMicros overhead_{ 0 };
  /// When its removal from the roster was last asked for.
  std::optional<gpTime> removalAsked_;

  /// Slots that this entry may fill now. Tasks of other entries are taken to
  /// end one by one, within a mean run time of the report.
  std::uint32_t CountRoom(gpTime aNow) const;
  /// Takes a report of the guard into account.
  void NoteFree(std::uint32_t aFree, gpTime aNow);
};

/** \class gpGuardDirectory
 * \brief The guards that an entry knows, with what it learned of them.
 */
class gpGuardDirectory
{
public:
  /// Adds the guard if it's new, else updates what it says of itself.
  gpGuardView& Learn(const gpMember& aMember, gpTime aNow);
  /// Removes the guard.
  void Forget(gpIncarnation aGuard);
  gpGuardView* Find(gpIncarnation aGuard);
  std::map<gpIncarnation, gpGuardView>& GetAll() { return guards_; }
  const std::map<gpIncarnation, gpGuardView>& GetAll() const { return guards_; }

  /// Guards that could be given a task of the service, now or later.
  std::vector<gpGuardView*> ListUsable(const gpServiceName& aService);
  /// Learns from a result.
  void NoteRun(gpGuardView& aGuard, gpMicros aRun, gpMicros aTotal);
  /// Learned mean run time of a task of the service.
  gpMicros GetMeanRun(const gpServiceName& aService) const;
  /// Whether one more target of the service may be ejected.
  bool MayEject(const gpServiceName& aService, std::uint32_t aMaxPercent) const;

private:
  std::map<gpIncarnation, gpGuardView> guards_;
  /// The guards of each service; the map's nodes keep their places.
  std::map<gpServiceName, std::vector<gpGuardView*>> byService_;
  std::map<gpServiceName, gpMicros> meanRuns_;
};

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gpIds.h"
#include "gpRunMessages.h"
#include "gpTargetHealth.h"
#include "gpTime.h"

/** \class gpTargetView
 * \brief What an entry knows of one guard and its target.
 */
struct gpTargetView
{
  gpLinkId link_;
  gpTargetNews news_;
  gpResources reportedFree_;
  gpTime reportedAt_;
  /// Entries that share the target, this one included.
  std::uint32_t sharers_ = 1;
  /// Runs ordered on this link; the first ones are in the guard's reports.
  std::uint64_t runsOrdered_ = 0;
  /// Needs of the ordered runs that no report takes into account yet, each with
  /// its number in the order of sending.
  std::deque<std::pair<std::uint64_t, gpResources>> unreported_;
  /// Run time over estimate, as the guard measures it.
  double slowness_ = 1.0;
  gpTargetHealth health_;
  /// The job whose failure counted last against the target.
  std::string lastFailedJob_;
  /// When each run in flight is expected to have ended at the latest.
  std::map<gpRunId, gpTime> overdueAt_;

  /// What is free, as far as this entry can know.
  gpResources GetFree() const;
  /// A run is so late that the target may not be working at all.
  bool IsStalled(gpTime aNow) const;
};

/** \class gpPlacementNeed
 * \brief What a waiting task asks of a target.
 */
struct gpPlacementNeed
{
  gpServiceName service_;
  gpResources needs_;
  gpMillis estimate_{ 0 };
  /// The task ends in time if it takes no more than so many times its length
  /// on a target of usual speed ...
  double stretch_ = 1.0;
  /// ... and so much more, less what it has waited already.
  gpMillis allowance_{ 0 };
  /// The caller doesn't wait longer.
  gpMillis patience_{ 0 };
  /// Guards to take only if there is no other.
  std::set<gpIncarnation> avoid_;
};

/** \class gpTargetBoard
 * \brief The targets that an entry can send runs to, and how they did so far.
 */
class gpTargetBoard
{
public:
  /// aDataCentre is the entry's own, preferred among equals.
  explicit gpTargetBoard(gpDataCentreName aDataCentre)
    : dataCentre_(std::move(aDataCentre))
  {
  }

  void OnLinked(gpIncarnation aGuard, gpLinkId aLink);
  void OnLost(gpIncarnation aGuard);
  void OnNews(gpIncarnation aGuard, const gpTargetNews& aNews);
  /// True if there may be room for more than before.
  bool OnRoom(gpIncarnation aGuard, const gpRoomReport& aRoom, gpTime aNow);

  gpTargetView* Find(gpIncarnation aGuard);
  const std::map<gpIncarnation, gpTargetView>& GetAll() const { return views_; }

  /// The slowest target with room on which the task is expected to end in time,
  /// so that faster ones stay free for tasks that need them; if there is none,
  /// the fastest with room. Not set if none has room.
  std::optional<gpIncarnation> Choose(const gpPlacementNeed& aNeed,
                                      gpTime aNow);
  /// Whether the task may be placed at that target, if there is no other.
  bool Accepts(gpIncarnation aGuard, const gpPlacementNeed& aNeed, gpTime aNow);
  /// How many targets were looked at for tasks, since the start.
  std::uint64_t CountLooks() const { return looks_; }
  /// Whether the task ends in time on fast targets only.
  bool NeedsFast(const gpPlacementNeed& aNeed, gpTime aNow) const;
  /// A run was sent.
  void NoteSent(gpIncarnation aGuard,
                const gpRunId& aRun,
                const gpResources& aNeeds,
                gpMillis aEstimate,
                gpTime aNow);
  /// A run has ended or was refused.
  void NoteEnded(gpIncarnation aGuard,
                 const std::string& aJob,
                 const gpRunReport& aReport,
                 gpTime aNow);

  /// Whether a target of the service takes work.
  bool HasTarget(const gpServiceName& aService) const;
  /// Whether a target of the service could hold the task when it is empty.
  bool CouldHold(const gpServiceName& aService,
                 const gpResources& aNeeds) const;
  /// This entry's part of the processor of all targets of the service that take
  /// work, in thousandths of a core of average speed.
  double GetShare(const gpServiceName& aService) const;

private:
  /// The median over the targets that may be given work.
  double UsualSlowness(const gpServiceName& aService, gpTime aNow) const;
  /// The least of all targets that may be given work, as it was a moment ago.
  double FastestSlowness(const gpServiceName& aService, gpTime aNow);
  double FindFastest(const gpServiceName& aService, gpTime aNow) const;
  bool Accepts(const gpTargetView& aView,
               const gpPlacementNeed& aNeed,
               gpTime aNow);
  bool MayStart(const gpTargetView& aView, gpTime aNow) const;

  struct Fastest
  {
    double slowness_ = 0;
    gpTime foundAt_;
  };

  gpDataCentreName dataCentre_;
  std::map<gpIncarnation, gpTargetView> views_;
  std::map<gpServiceName, Fastest> fastest_;
  std::uint64_t looks_ = 0;
};

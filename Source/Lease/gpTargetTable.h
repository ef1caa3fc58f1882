#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gpIds.h"
#include "gpPeer.h"
#include "gpPlacementScope.h"
#include "gpRunMessages.h"
#include "gpTargetHealth.h"
#include "gpTime.h"

/** \class gpTargetView
 * \brief What an entry knows about one guard and its target.
 */
struct gpTargetView
{
  gpLinkId link_;
  /// Name of the guard.
  std::string name_;
  /// The scopes, besides AnyTarget, of which the target is part.
  std::set<gpPlacementScope> scopes_;
  gpTargetUpdate update_;
  gpResources reportedFree_;
  gpTime reportedAt_;
  /// Number of entries that share the target, including this one.
  std::uint32_t sharingEntries_ = 1;
  /// Number of runs ordered on this link. The guard's capacity reports say how
  /// many of these they take into account.
  std::uint64_t runsOrdered_ = 0;
  /// Needs of the ordered runs that no capacity report takes into account yet,
  /// each with its number in the order of sending.
  std::deque<std::pair<std::uint64_t, gpResources>> unreported_;
  /// Run time divided by estimate, as measured by the guard; lower is faster.
  double slowness_ = 1.0;
  gpTargetHealth health_;
  /// The job whose failure was counted last against the target's health.
  std::string lastFailedJob_;
  /// Until then no other suspected task is sent to the target, so that a crash
  /// tells which of them is the cause.
  gpTime suspectedUntil_;
  /// By when each run in flight should have ended at the latest.
  std::map<gpRunId, gpTime> overdueAt_;

  /// Free capacity: the reported one, less the needs of runs ordered since.
  gpResources GetFree() const;
  /// Whether a run is so late that the target may have stopped working.
  bool IsStalled(gpTime aNow) const;
  bool IsIn(gpPlacementScope aScope) const
  {
    return aScope == gpPlacementScope::AnyTarget || scopes_.contains(aScope);
  }
};

/** \class gpPlacementNeed
 * \brief What a waiting task requires of a target.
 */
struct gpPlacementNeed
{
  gpServiceName service_;
  gpResources needs_;
  gpMillis estimate_{ 0 };
  /// The objective of the task: it ends in time if its run time is at most
  /// stretch_ times its estimate ...
  double stretch_ = 1.0;
  /// ... plus this time, from which its waiting time so far is deducted.
  gpMillis allowance_{ 0 };
  /// Time left until the job's deadline.
  gpMillis timeLeft_{ 0 };
  /// Guards to be chosen only if there is no other.
  std::set<gpIncarnation> avoid_;
  gpPlacementScope scope_ = gpPlacementScope::AnyTarget;
  /// Whether the task is suspected of having crashed a target.
  bool isSuspected_ = false;
};

/** \class gpTargetObstacles
 * \brief Number of targets that can't be given a task, by the first obstacle
 * found.
 */
struct gpTargetObstacles
{
  /// The task may not use the target, as its queue's tasks crash targets, or as
  /// the target is set apart for such a queue.
  std::size_t outOfScope_ = 0;
  std::size_t leaving_ = 0;
  std::size_t ejected_ = 0;
  /// A run there is so late that the target may have stopped working.
  std::size_t stalled_ = 0;
  std::size_t full_ = 0;
  /// There is enough free capacity, but the task would end too late.
  std::size_t slow_ = 0;

  /// The numbers with their names in logs.
  std::array<std::pair<const char*, std::size_t>, 6> List() const
  {
    return { { { "out_of_scope", outOfScope_ },
               { "leaving", leaving_ },
               { "ejected", ejected_ },
               { "stalled", stalled_ },
               { "full", full_ },
               { "slow", slow_ } } };
  }
};

/** \class gpTargetTable
 * \brief The targets to which an entry can send runs, with their free capacity,
 * speed and health.
 */
class gpTargetTable
{
public:
  /// aDataCentre is the entry's own data centre, which is preferred.
  explicit gpTargetTable(gpDataCentreName aDataCentre)
    : dataCentre_(std::move(aDataCentre))
  {
  }

  void OnLinked(const gpPeer& aGuard, gpLinkId aLink);
  void OnLost(gpIncarnation aGuard);
  void OnTargetUpdate(gpIncarnation aGuard, const gpTargetUpdate& aUpdate);
  /// Returns true if the target may have more free capacity than before.
  bool OnCapacityReport(gpIncarnation aGuard,
                        const gpCapacityReport& aCapacity,
                        gpTime aNow);

  gpTargetView* Find(gpIncarnation aGuard);
  const std::map<gpIncarnation, gpTargetView>& GetAll() const { return views_; }

  /// Chooses the slowest target with enough free capacity on which the task is
  /// expected to end in time, so that faster ones stay free for tasks that need
  /// them. If there is none, chooses the fastest with enough free capacity. Not
  /// set if the task has to wait.
  std::optional<gpIncarnation> Choose(const gpPlacementNeed& aNeed,
                                      gpTime aNow);
  /// Whether the task may be placed at that target, if no other is considered.
  bool Accepts(gpIncarnation aGuard, const gpPlacementNeed& aNeed, gpTime aNow);
  /// Why no target can be given the task.
  gpTargetObstacles FindObstacles(const gpPlacementNeed& aNeed,
                                  gpTime aNow) const;
  /// Number of targets that were considered for tasks, since the start: a
  /// measure of the work of placement.
  std::uint64_t CountConsidered() const { return considered_; }
  /// Whether the task is not expected to end in time on the median target.
  bool NeedsFastTarget(const gpPlacementNeed& aNeed, gpTime aNow) const;
  void NoteSent(gpIncarnation aGuard,
                const gpRunId& aRun,
                const gpPlacementNeed& aNeed,
                gpTime aNow);
  /// A run has ended or was refused; updates the target's health.
  void NoteEnded(gpIncarnation aGuard,
                 const std::string& aJob,
                 const gpRunReport& aReport,
                 gpTime aNow);

  /// Whether any target of the service accepts work.
  bool HasTarget(const gpServiceName& aService, gpPlacementScope aScope) const;
  /// Whether any target of the service has the capacity for the task when it's
  /// idle.
  bool CouldHold(const gpServiceName& aService,
                 gpPlacementScope aScope,
                 const gpResources& aNeeds) const;
  /// This entry's share of the processor of all targets of the service that
  /// accept work, in thousandths of a core of average speed.
  double GetShare(const gpServiceName& aService, gpPlacementScope aScope) const;

private:
  /// Median slowness of the targets that may be given work; 1 if there are
  /// none.
  double MedianSlowness(const gpServiceName& aService, gpTime aNow) const;
  /// Lowest slowness of the targets that may be given work, cached for
  /// kFastestTime.
  double FastestSlowness(const gpServiceName& aService,
                         gpPlacementScope aScope,
                         gpTime aNow);
  double FindFastest(const gpServiceName& aService,
                     gpPlacementScope aScope,
                     gpTime aNow) const;
  /// Chooses the targets of each service that are set apart. All entries choose
  /// the same ones of those that they know.
  void UpdateScopes();
  bool Accepts(const gpTargetView& aView,
               const gpPlacementNeed& aNeed,
               gpTime aNow);
  /// Why the target may be given no work at all; null if it may be given some.
  static std::size_t gpTargetObstacles::*FindStartObstacle(
    const gpTargetView& aView,
    gpTime aNow);
  static bool MayStart(const gpTargetView& aView, gpTime aNow);

  struct Fastest
  {
    double slowness_ = 0;
    gpTime foundAt_;
  };

  gpDataCentreName dataCentre_;
  std::map<gpIncarnation, gpTargetView> views_;
  std::map<std::pair<gpServiceName, gpPlacementScope>, Fastest> fastest_;
  std::uint64_t considered_ = 0;
};

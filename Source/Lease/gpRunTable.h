#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"
#include "gpRunMessages.h"
#include "gpTime.h"

/// Where a run at a guard stands.
enum class gpRunPhase
{
  Starting, ///< the target has not answered yet
  Running,
  Stopping, ///< it's to be stopped, or it's not known whether it started
};

/** \class gpGuardRun
 * \brief One run that may be at work at the guard's target.
 */
struct gpGuardRun
{
  gpRunId id_;
  /// The entry that ordered it; not set once nobody waits for it.
  std::optional<gpIncarnation> owner_;
  gpResources needs_;
  /// What it's expected to take on a target of usual speed.
  gpMillis estimate_{ 0 };
  gpRunPhase phase_ = gpRunPhase::Starting;
  gpTime orderedAt_;
  /// Since when a look at the target must show the run unless it's over; not
  /// set while it may still begin.
  std::optional<gpTime> settledAt_;
};

/** \class gpRunTable
 * \brief The runs that may be at work at a guard's target, and the room that
 * they take.
 */
class gpRunTable
{
public:
  void SetCapacity(const gpResources& aCapacity) { capacity_ = aCapacity; }
  const gpResources& GetCapacity() const { return capacity_; }
  gpResources GetFree() const;

  /// False if it's there already.
  bool Add(gpGuardRun aRun);
  gpGuardRun* Find(const gpRunId& aRun);
  void Remove(const gpRunId& aRun) { runs_.erase(aRun); }
  /// The runs of one entry that may be at work.
  std::vector<gpRunId> ListOf(gpIncarnation aOwner) const;
  /// Runs that a look sent at that time must have shown, but which it didn't
  /// show as running.
  std::vector<gpRunId> ListOver(gpTime aSentAt,
                                const std::vector<gpRunId>& aRunning) const;

  const std::map<gpRunId, gpGuardRun>& GetAll() const { return runs_; }
  bool IsEmpty() const { return runs_.empty(); }

private:
  std::map<gpRunId, gpGuardRun> runs_;
  gpResources capacity_;
};

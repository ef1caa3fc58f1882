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

/// State of a run at a guard.
enum class gpRunPhase
{
  Starting, ///< the target has not answered the start yet
  Running,
  Stopping, ///< being stopped, also if it's unknown whether it started
};

/** \class gpGuardRun
 * \brief One run that may be running at the guard's target.
 */
struct gpGuardRun
{
  gpRunId id_;
  /// The entry that ordered the run, which receives its report.
  std::optional<gpIncarnation> owner_;
  gpQueueName queue_;
  gpResources needs_;
  /// Expected run time on a target of average speed.
  gpMillis estimate_{ 0 };
  gpRunPhase phase_ = gpRunPhase::Starting;
  /// Whether the target has confirmed the start.
  bool started_ = false;
  gpTime orderedAt_;
  /// A poll that is sent at this time or later lists the run unless it has
  /// ended. Not set while the run may still start.
  std::optional<gpTime> visibleSince_;
};

/** \class gpRunTable
 * \brief The runs that may be running at a guard's target, and the free
 * capacity that they leave.
 */
class gpRunTable
{
public:
  void SetCapacity(const gpResources& aCapacity) { capacity_ = aCapacity; }
  const gpResources& GetCapacity() const { return capacity_; }
  gpResources GetFree() const;

  /// Returns false if the run is in the table already.
  bool Add(gpGuardRun aRun);
  gpGuardRun* Find(const gpRunId& aRun);
  void Remove(const gpRunId& aRun) { runs_.erase(aRun); }
  /// The runs that one entry has ordered.
  std::vector<gpRunId> ListRunsOf(gpIncarnation aOwner) const;
  /// Runs that a poll sent at aSentAt would have listed if they were still
  /// running, but didn't.
  std::vector<gpRunId> ListEnded(gpTime aSentAt,
                                 const std::vector<gpRunId>& aRunning) const;

  const std::map<gpRunId, gpGuardRun>& GetAll() const { return runs_; }
  bool IsEmpty() const { return runs_.empty(); }

private:
  std::map<gpRunId, gpGuardRun> runs_;
  gpResources capacity_;
};

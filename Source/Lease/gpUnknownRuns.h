#pragma once

#include <set>
#include <vector>

#include "gpRunMessages.h"
#include "gpRunTable.h"

/** \class gpUnknownRunsChange
 * \brief Difference of the unknown runs between two polls.
 */
struct gpUnknownRunsChange
{
  std::vector<gpRunId> appeared_;
  std::vector<gpRunId> disappeared_;
};

/** \class gpUnknownRuns
 * \brief Unknown runs: those that a guard's target lists, but which this
 * incarnation of the guard has not started.
 */
class gpUnknownRuns
{
public:
  /// Updates the set from the runs that a poll listed and those that the guard
  /// has started. Returns what has changed.
  gpUnknownRunsChange Update(const std::vector<gpRunId>& aRunning,
                             const gpRunTable& aKnown);
  void Clear() { unknownRuns_.clear(); }
  bool IsEmpty() const { return unknownRuns_.empty(); }

private:
  std::set<gpRunId> unknownRuns_;
};

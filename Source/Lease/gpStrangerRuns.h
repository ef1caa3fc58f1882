#pragma once

#include <set>
#include <vector>

#include "gpRunMessages.h"
#include "gpRunTable.h"

/** \class gpStrangerChange
 * \brief Difference of the unknown runs between two polls.
 */
struct gpStrangerChange
{
  std::vector<gpRunId> appeared_;
  std::vector<gpRunId> gone_;
};

/** \class gpStrangerRuns
 * \brief Unknown runs: those that a guard's target lists, but which this
 * incarnation of the guard has not started.
 */
class gpStrangerRuns
{
public:
  /// Updates the set from the runs that a poll listed and those that the guard
  /// has started. Returns what has changed.
  gpStrangerChange Show(const std::vector<gpRunId>& aRunning,
                        const gpRunTable& aKnown);
  void Clear() { strangers_.clear(); }
  bool IsEmpty() const { return strangers_.empty(); }

private:
  std::set<gpRunId> strangers_;
};

#pragma once

#include <set>
#include <vector>

#include "gpRunMessages.h"
#include "gpRunTable.h"

/** \class gpStrangerChange
 * \brief How the strangers at a target changed from one look to the next.
 */
struct gpStrangerChange
{
  std::vector<gpRunId> appeared_;
  std::vector<gpRunId> gone_;
};

/** \class gpStrangerRuns
 * \brief Runs that a guard's target shows but this incarnation of the guard
 * hasn't started.
 */
class gpStrangerRuns
{
public:
  /// Takes the runs that a look showed, and those that the guard knows.
  gpStrangerChange Show(const std::vector<gpRunId>& aRunning,
                        const gpRunTable& aKnown);
  void Clear() { strangers_.clear(); }
  bool IsEmpty() const { return strangers_.empty(); }

private:
  std::set<gpRunId> strangers_;
};

#include "gpUnknownRuns.h"

#include <algorithm>
#include <iterator>
#include <utility>

gpUnknownRunsChange
gpUnknownRuns::Update(const std::vector<gpRunId>& aRunning,
                      const gpRunTable& aKnown)
{
  const std::set<gpRunId> before = std::exchange(unknownRuns_, {});
  for (const gpRunId& run : aRunning) {
    if (!aKnown.GetAll().contains(run)) {
      unknownRuns_.insert(run);
    }
  }
  gpUnknownRunsChange change;
  std::set_difference(unknownRuns_.begin(),
                      unknownRuns_.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(change.appeared_));
  std::set_difference(before.begin(),
                      before.end(),
                      unknownRuns_.begin(),
                      unknownRuns_.end(),
                      std::back_inserter(change.disappeared_));
  return change;
}

#include "gpStrangerRuns.h"

#include <algorithm>
#include <iterator>
#include <utility>

gpStrangerChange
gpStrangerRuns::Show(const std::vector<gpRunId>& aRunning,
                     const gpRunTable& aKnown)
{
  const std::set<gpRunId> before = std::exchange(strangers_, {});
  for (const gpRunId& run : aRunning) {
    if (!aKnown.GetAll().contains(run)) {
      strangers_.insert(run);
    }
  }
  gpStrangerChange change;
  std::set_difference(strangers_.begin(),
                      strangers_.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(change.appeared_));
  std::set_difference(before.begin(),
                      before.end(),
                      strangers_.begin(),
                      strangers_.end(),
                      std::back_inserter(change.gone_));
  return change;
}

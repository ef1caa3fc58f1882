#include "gpPendingStops.h"

#include <algorithm>

void
gpPendingStops::NoteFailed(const gpRunId& aRun)
{
  const auto stop = stops_.find(aRun);
  if (stop != stops_.end()) {
    stop->second.failed_ = true;
  }
}

std::vector<gpRunId>
gpPendingStops::ListDue(gpTime aNow, gpMillis aPause) const
{
  std::vector<gpRunId> due;
  for (const auto& [run, stop] : stops_) {
    if (stop.failed_ && aNow >= stop.sentAt_ + aPause) {
      due.push_back(run);
    }
  }
  return due;
}

gpTime
gpPendingStops::GetNext(gpMillis aPause) const
{
  gpTime next = gpTime::max();
  for (const auto& [run, stop] : stops_) {
    if (stop.failed_) {
      next = std::min(next, stop.sentAt_ + aPause);
    }
  }
  return next;
}

#include "gpPendingStops.h"

#include <algorithm>

void
gpPendingStops::NoteSent(const gpRunId& aRun, gpTime aNow, gpTime aOverdueAt)
{
  Stop& stop = stops_[aRun];
  stop.sentAt_ = aNow;
  stop.failed_ = false;
  stop.overdueAt_ = std::min(stop.overdueAt_, aOverdueAt);
}

void
gpPendingStops::Hurry(const gpRunId& aRun, gpTime aOverdueAt)
{
  const auto stop = stops_.find(aRun);
  if (stop != stops_.end()) {
    stop->second.overdueAt_ = std::min(stop->second.overdueAt_, aOverdueAt);
  }
}

bool
gpPendingStops::HasOverdue(gpTime aNow) const
{
  return std::any_of(stops_.begin(), stops_.end(), [aNow](const auto& aStop) {
    return aNow >= aStop.second.overdueAt_;
  });
}

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

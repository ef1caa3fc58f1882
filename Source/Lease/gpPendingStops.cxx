#include "gpPendingStops.h"

#include <algorithm>
#include <utility>

void
gpPendingStops::SetInFlight(Stop& aStop, bool aIsInFlight)
{
  if (std::exchange(aStop.isInFlight_, aIsInFlight) != aIsInFlight) {
    inFlight_ += aIsInFlight ? 1 : -1;
  }
}

void
gpPendingStops::NoteSent(const gpRunId& aRun, gpTime aNow, gpTime aOverdueAt)
{
  Stop& stop = stops_[aRun];
  stop.sentAt_ = aNow;
  SetInFlight(stop, true);
  stop.overdueAt_ = std::min(stop.overdueAt_, aOverdueAt);
}

void
gpPendingStops::NoteNotSent(const gpRunId& aRun, gpTime aOverdueAt)
{
  Stop& stop = stops_[aRun];
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
    SetInFlight(stop->second, false);
  }
}

void
gpPendingStops::Forget(const gpRunId& aRun)
{
  NoteFailed(aRun);
  stops_.erase(aRun);
}

void
gpPendingStops::Clear()
{
  stops_.clear();
  inFlight_ = 0;
}

std::vector<gpRunId>
gpPendingStops::ListDue(gpTime aNow, gpMillis aPause) const
{
  using Due = std::pair<gpTime, gpRunId>;
  std::vector<Due> due;
  if (!MaySend()) {
    return {};
  }
  for (const auto& [run, stop] : stops_) {
    if (!stop.isInFlight_ && aNow >= stop.sentAt_ + aPause) {
      due.emplace_back(stop.sentAt_, run);
    }
  }
  std::stable_sort(
    due.begin(), due.end(), [](const Due& aOne, const Due& aOther) {
      return aOne.first < aOther.first;
    });
  const std::size_t count = std::min(due.size(), kMostInFlight - inFlight_);
  std::vector<gpRunId> runs;
  for (std::size_t i = 0; i < count; ++i) {
    runs.push_back(std::move(due[i].second));
  }
  return runs;
}

gpTime
gpPendingStops::GetNext(gpMillis aPause) const
{
  gpTime next = gpTime::max();
  if (!MaySend()) {
    return next;
  }
  for (const auto& [run, stop] : stops_) {
    if (!stop.isInFlight_) {
      next = std::min(next, stop.sentAt_ + aPause);
    }
  }
  return next;
}

#include "gpExperiment.h"

#include <algorithm>
#include <cmath>

double
gpDeployment::Capacity() const
{
  double capacity = 0.0;
  for (const gpTargetSite& target : targets_) {
    capacity += target.slots_ * target.speed_;
  }
  return capacity;
}

gpMicros
gpDeployment::EntryDelay(const gpTargetSite& aTarget) const
{
  const bool hasEntryInDataCentre =
    entries_.empty() ||
    std::any_of(
      entries_.begin(), entries_.end(), [&aTarget](const gpEntrySite& aEntry) {
        return aEntry.dataCentre_ == aTarget.dataCentre_;
      });
  return hasEntryInDataCentre ? gpMicros{ 0 } : dataCentreDelay_;
}

gpMillis
gpExperiment::ScaledDeadline() const
{
  const double scaled = static_cast<double>(deadline_.count()) * timeScale_;
  return gpMillis{ std::max<std::int64_t>(1, std::llround(scaled)) };
}

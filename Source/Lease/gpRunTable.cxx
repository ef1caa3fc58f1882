#include "gpRunTable.h"

#include <utility>

gpResources
gpRunTable::GetFree() const
{
  gpResources free = capacity_;
  for (const auto& [id, run] : runs_) {
    free.Take(run.needs_);
  }
  return free;
}

bool
gpRunTable::Add(gpGuardRun aRun)
{
  gpRunId id = aRun.id_;
  return runs_.emplace(std::move(id), std::move(aRun)).second;
}

gpGuardRun*
gpRunTable::Find(const gpRunId& aRun)
{
  const auto found = runs_.find(aRun);
  return found == runs_.end() ? nullptr : &found->second;
}

std::vector<gpRunId>
gpRunTable::ListRunsOf(gpIncarnation aOwner) const
{
  std::vector<gpRunId> list;
  for (const auto& [id, run] : runs_) {
    if (run.owner_ == aOwner) {
      list.push_back(id);
    }
  }
  return list;
}

std::vector<gpRunId>
gpRunTable::ListEnded(gpTime aSentAt,
                      const std::vector<gpRunId>& aRunning) const
{
  const std::set<gpRunId> running(aRunning.begin(), aRunning.end());
  std::vector<gpRunId> over;
  for (const auto& [id, run] : runs_) {
    const bool mustShow =
      run.visibleSince_.has_value() && *run.visibleSince_ <= aSentAt;
    if (mustShow && !running.contains(id)) {
      over.push_back(id);
    }
  }
  return over;
}

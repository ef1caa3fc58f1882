#include "gpJob.h"

std::optional<gpServiceKey>
gpKeyOf(const gpJob& aJob)
{
  if (!aJob.submission_.key_.has_value()) {
    return std::nullopt;
  }
  return gpServiceKey{ aJob.submission_.service_, *aJob.submission_.key_ };
}

std::vector<gpTaskIndex>
gpMayHaveRun(const gpJob& aJob)
{
  std::vector<gpTaskIndex> tasks;
  for (std::uint32_t index = 0; index < aJob.tasks_.size(); ++index) {
    const gpTaskPhase phase = aJob.tasks_[index].phase_;
    if (phase != gpTaskPhase::Waiting && phase != gpTaskPhase::Dropped) {
      tasks.emplace_back(index);
    }
  }
  return tasks;
}

gpTimelineEvent
gpJobEvent(gpEventKind aKind, const gpJob& aJob)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.job_ = aJob.id_;
  event.key_ = gpKeyOf(aJob);
  return event;
}

bool
gpIsLookup(const gpJob& aJob)
{
  return aJob.tasks_.empty();
}

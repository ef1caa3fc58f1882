#include "gpQueueContainment.h"

#include <algorithm>

namespace {

/// Crashes within this time after the first of them have one cause.
constexpr gpMillis kSameCause{ 10 };
/// A contained queue is released after this time without a crash that it
/// explains.
constexpr gpMillis kReleaseAfter{ 4000 };

} // namespace

bool
gpQueueContainment::Explains(const gpLostRun& aRun) const
{
  const auto contained = contained_.find(aRun.queue_);
  if (contained == contained_.end()) {
    return false;
  }
  const gpCrashPattern pattern{ aRun.queue_, contained->second.crashAge_ };
  const auto patterns = gpPatternsOf(aRun);
  return std::find(patterns.begin(), patterns.end(), pattern) != patterns.end();
}

bool
gpQueueContainment::Explain(const gpTargetCrash& aCrash)
{
  bool isExplained = false;
  for (const gpLostRun& run : aCrash.runs_) {
    if (Explains(run)) {
      contained_.at(run.queue_).clean_ = gpMicros(0);
      isExplained = true;
    }
  }
  return isExplained;
}

std::vector<gpContainedQueue>
gpQueueContainment::NoteCrash(const gpTargetCrash& aCrash, gpTime aNow)
{
  const bool isSameCause =
    weighedAt_ != gpTime{} && aNow - weighedAt_ < kSameCause;
  if (Explain(aCrash) || isSameCause) {
    return {};
  }
  weighedAt_ = aNow;
  patterns_.NoteCrash(aCrash, aNow);
  std::vector<gpContainedQueue> contained;
  for (const gpCrashPattern& pattern : patterns_.ListConfirmed()) {
    const gpContainedQueue queue{ pattern.queue_,
                                  aCrash.service_,
                                  pattern.age_ };
    if (Contain(queue, aNow)) {
      contained.push_back(queue);
    }
  }
  if (!contained.empty()) {
    patterns_.Clear();
  }
  return contained;
}

bool
gpQueueContainment::Contain(const gpContainedQueue& aQueue, gpTime aNow)
{
  const Containment containment{
    aQueue.service_, aQueue.crashAge_, gpMicros(0), aNow
  };
  return contained_.emplace(aQueue.queue_, containment).second;
}

std::vector<gpContainedQueue>
gpQueueContainment::List() const
{
  std::vector<gpContainedQueue> list;
  for (const auto& [queue, containment] : contained_) {
    list.push_back({ queue, containment.service_, containment.crashAge_ });
  }
  return list;
}

std::vector<gpContainedQueue>
gpQueueContainment::Release(
  const std::function<bool(const gpServiceName&)>& aHasTarget,
  gpTime aNow)
{
  std::vector<gpContainedQueue> released;
  for (auto& [queue, contained] : contained_) {
    if (aHasTarget(contained.service_)) {
      contained.clean_ += aNow - contained.updatedAt_;
    }
    contained.updatedAt_ = aNow;
    if (contained.clean_ >= kReleaseAfter) {
      released.push_back({ queue, contained.service_, contained.crashAge_ });
    }
  }
  for (const gpContainedQueue& queue : released) {
    contained_.erase(queue.queue_);
    patterns_.NoteReleased({ queue.queue_, queue.crashAge_ }, aNow);
  }
  return released;
}

bool
gpQueueContainment::CrashesAtStart(const gpQueueName& aQueue) const
{
  const auto contained = contained_.find(aQueue);
  return contained != contained_.end() &&
         contained->second.crashAge_ == gpMillis(0);
}

gpPlacementScope
gpQueueContainment::ScopeOf(const gpQueue& aQueue) const
{
  if (contained_.empty()) {
    return gpPlacementScope::AnyTarget;
  }
  if (IsContained(aQueue.name_)) {
    return gpPlacementScope::SetApart;
  }
  const bool isSharing = std::any_of(
    contained_.begin(), contained_.end(), [&](const auto& aContained) {
      return aContained.second.service_ == aQueue.service_;
    });
  return isSharing ? gpPlacementScope::Others : gpPlacementScope::AnyTarget;
}

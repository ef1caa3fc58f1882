#include "gpQueueContainment.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace {

constexpr double kPermille = 1000;
/// Sum of the weights of crashes from which a queue is contained: such crashes
/// are about 15 times more likely if its tasks are the cause than by chance.
const double kContainScore = std::log(15.0);
/// Largest weight of one crash, so that at least two are needed.
const double kMostWeight = std::log(4.0);
/// Weight of a crash without a suspected task of the queue.
constexpr double kOtherCauseWeight = 1.0;
/// A queue that was released is contained again after one more crash.
const double kReleasedScore = kContainScore - std::log(1.6);
/// Time constant in which a suspicion decays.
constexpr double kDecaySeconds = 10.0;
/// Crashes within this time after the first of them have one cause.
constexpr gpMillis kSameCause{ 10 };
/// A contained queue is released after this time without a suspected crash.
constexpr gpMillis kReleaseAfter{ 4000 };

} // namespace

gpQueueContainment::Suspicion&
gpQueueContainment::Update(const gpQueueName& aQueue, gpTime aNow)
{
  Suspicion& suspicion = suspicions_[aQueue];
  const std::chrono::duration<double> passed = aNow - suspicion.updatedAt_;
  suspicion.score_ *= std::exp(-passed.count() / kDecaySeconds);
  suspicion.updatedAt_ = aNow;
  return suspicion;
}

void
gpQueueContainment::Weigh(const gpTargetCrash& aCrash, gpTime aNow)
{
  const std::set<gpQueueName> suspected = gpSuspectedQueues(aCrash);
  double all = 0;
  for (const gpQueueName& queue : suspected) {
    all += std::exp(Update(queue, aNow).score_);
  }
  for (const gpQueueActivity& activity : aCrash.queues_) {
    double& score = Update(activity.queue_, aNow).score_;
    if (suspected.contains(activity.queue_)) {
      const double chance = std::max(1U, activity.chancePermille_) / kPermille;
      const double weight = std::min(kMostWeight, -std::log(chance));
      score += weight * std::exp(score) / all;
    } else {
      score = std::max(0.0, score - kOtherCauseWeight);
    }
  }
}

bool
gpQueueContainment::IsExplained(const std::set<gpQueueName>& aSuspected)
{
  bool isExplained = false;
  for (auto& [queue, contained] : contained_) {
    if (aSuspected.contains(queue)) {
      contained.clean_ = gpMicros(0);
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
  if (IsExplained(gpSuspectedQueues(aCrash)) || isSameCause) {
    return {};
  }
  weighedAt_ = aNow;
  Weigh(aCrash, aNow);
  std::vector<gpContainedQueue> contained;
  for (const auto& [queue, suspicion] : suspicions_) {
    const gpContainedQueue candidate{ queue, aCrash.service_ };
    if (suspicion.score_ >= kContainScore && Contain(candidate, aNow)) {
      contained.push_back(candidate);
    }
  }
  if (!contained.empty()) {
    // What the other queues were suspected of is explained now.
    suspicions_.clear();
  }
  return contained;
}

bool
gpQueueContainment::Contain(const gpContainedQueue& aQueue, gpTime aNow)
{
  const Containment containment{ aQueue.service_, gpMicros(0), aNow };
  return contained_.emplace(aQueue.queue_, containment).second;
}

std::vector<gpContainedQueue>
gpQueueContainment::List() const
{
  std::vector<gpContainedQueue> list;
  for (const auto& [queue, containment] : contained_) {
    list.push_back({ queue, containment.service_ });
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
      released.push_back({ queue, contained.service_ });
    }
  }
  for (const gpContainedQueue& queue : released) {
    contained_.erase(queue.queue_);
    suspicions_[queue.queue_] = { kReleasedScore, aNow };
  }
  return released;
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

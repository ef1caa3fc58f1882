#include "gpCrashPatterns.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace {

constexpr double kPermille = 1000;
/// Patterns overlap by half, so that runs whose ages differ by little fit the
/// same one.
constexpr gpMillis kAgeStep = kCrashAgeWidth / 2;
/// Ages from here on are not considered.
constexpr gpMillis kMostAge{ 1000 };
constexpr auto kPatterns = static_cast<double>(kMostAge / kAgeStep);

/// Sum of the weights of crashes from which tasks that crash their targets at
/// once are the cause: such crashes are about 15 times more likely then than by
/// chance.
const double kConfirmedScore = std::log(15.0);
/// The same for each pattern with a longer age.
const double kConfirmedLateScore = kConfirmedScore + std::log(kPatterns);
/// Largest weight of one crash, so that at least two are needed, or three for a
/// pattern with a longer age.
const double kMostWeight = std::log(4.0);
const double kMostLateWeight = std::log(12.0);
/// Weight of a crash that doesn't fit.
constexpr double kOtherCauseWeight = 1.0;
/// What a released pattern lacks until it's confirmed.
const double kReleasedLack = std::log(1.6);
/// Time constant in which a suspicion decays.
constexpr double kDecaySeconds = 10.0;

bool
IsLate(const gpCrashPattern& aPattern)
{
  return aPattern.age_ > gpMillis(0);
}

double
ConfirmedScoreOf(const gpCrashPattern& aPattern)
{
  return IsLate(aPattern) ? kConfirmedLateScore : kConfirmedScore;
}

std::set<gpCrashPattern>
FittingPatterns(const gpTargetCrash& aCrash)
{
  std::set<gpCrashPattern> fitting;
  for (const gpLostRun& run : aCrash.runs_) {
    const auto patterns = gpPatternsOf(run);
    fitting.insert(patterns.begin(), patterns.end());
  }
  return fitting;
}

} // namespace

std::vector<gpCrashPattern>
gpPatternsOf(const gpLostRun& aRun)
{
  // Entries of an older version don't name the queue.
  if (aRun.queue_.value_.empty()) {
    return {};
  }
  std::vector<gpCrashPattern> patterns;
  if (aRun.suspected_) {
    patterns.push_back({ aRun.queue_, gpMillis(0) });
  }
  if (!aRun.age_.has_value() || *aRun.age_ >= kMostAge) {
    return patterns;
  }
  const gpMillis age = *aRun.age_ / kAgeStep * kAgeStep;
  for (const gpMillis start : { age - kAgeStep, age }) {
    if (start > gpMillis(0)) {
      patterns.push_back({ aRun.queue_, start });
    }
  }
  return patterns;
}

void
gpCrashPatterns::Decay(gpTime aNow)
{
  const std::chrono::duration<double> passed = aNow - decayedAt_;
  const double factor = std::exp(-passed.count() / kDecaySeconds);
  for (auto& [pattern, score] : scores_) {
    score *= factor;
  }
  decayedAt_ = aNow;
}

void
gpCrashPatterns::NoteCrash(const gpTargetCrash& aCrash, gpTime aNow)
{
  Decay(aNow);
  const std::set<gpCrashPattern> fitting = FittingPatterns(aCrash);
  std::map<gpMillis, double> sums;
  for (const gpCrashPattern& pattern : fitting) {
    sums[pattern.age_] += std::exp(scores_[pattern]);
  }
  for (const gpQueueActivity& queue : aCrash.queues_) {
    AddWeight(queue, fitting, sums);
    SubtractWeight(queue.queue_, fitting);
  }
  std::erase_if(scores_, [](const auto& aScore) { return aScore.second <= 0; });
}

void
gpCrashPatterns::AddWeight(const gpQueueActivity& aQueue,
                           const std::set<gpCrashPattern>& aFitting,
                           const std::map<gpMillis, double>& aSums)
{
  const double chance = std::max(1U, aQueue.chancePermille_) / kPermille;
  for (const gpCrashPattern& pattern : aFitting) {
    if (pattern.queue_ != aQueue.queue_) {
      continue;
    }
    const double most = IsLate(pattern) ? kMostLateWeight : kMostWeight;
    const double weight = std::min(most, -std::log(chance));
    double& score = scores_.at(pattern);
    score += weight * std::exp(score) / aSums.at(pattern.age_);
  }
}

void
gpCrashPatterns::SubtractWeight(const gpQueueName& aQueue,
                                const std::set<gpCrashPattern>& aFitting)
{
  for (auto& [pattern, score] : scores_) {
    if (pattern.queue_ == aQueue && !aFitting.contains(pattern)) {
      score = std::max(0.0, score - kOtherCauseWeight);
    }
  }
}

std::vector<gpCrashPattern>
gpCrashPatterns::ListConfirmed() const
{
  std::vector<gpCrashPattern> confirmed;
  for (const auto& [pattern, score] : scores_) {
    if (score >= ConfirmedScoreOf(pattern)) {
      confirmed.push_back(pattern);
    }
  }
  return confirmed;
}

void
gpCrashPatterns::NoteReleased(const gpCrashPattern& aPattern, gpTime aNow)
{
  Decay(aNow);
  scores_[aPattern] = ConfirmedScoreOf(aPattern) - kReleasedLack;
}

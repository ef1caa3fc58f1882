#pragma once

#include <compare>
#include <map>
#include <set>
#include <vector>

#include "gpCrashMessages.h"
#include "gpTime.h"

/** \class gpCrashPattern
 * \brief A possible cause of crashes: tasks of one queue crash their targets at
 * a certain age.
 */
struct gpCrashPattern
{
  gpQueueName queue_;
  /// The age is at least this, and less than kCrashAgeWidth longer.
  gpMillis age_{ 0 };

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const gpCrashPattern&) const = default;
};

/// The patterns that a run which was lost in a crash fits.
std::vector<gpCrashPattern>
gpPatternsOf(const gpLostRun& aRun);

/** \class gpCrashPatterns
 * \brief Detects queues whose tasks crash targets, by a sequential test of each
 * pattern.
 *
 * That a run of a queue has a certain age at a crash may be chance, and the
 * more likely so, the more often the queue's tasks start; so a crash counts as
 * much as it is unlikely to fit the pattern by chance. Crashes that don't fit
 * count against the pattern. If runs of several queues have the same age, they
 * share the weight by how likely each is the cause.
 *
 * Tasks that crash their targets at once are the most common case. All other
 * patterns together need as much evidence as this one.
 */
class gpCrashPatterns
{
public:
  /// Weighs a crash for and against the patterns.
  void NoteCrash(const gpTargetCrash& aCrash, gpTime aNow);
  /// The patterns that explain the crashes.
  std::vector<gpCrashPattern> ListConfirmed() const;
  /// The crashes are explained: forgets all patterns.
  void Clear() { scores_.clear(); }
  /// The pattern no longer explains crashes; one more that fits confirms it.
  void NoteReleased(const gpCrashPattern& aPattern, gpTime aNow);

private:
  /// Lets all scores decay until aNow.
  void Decay(gpTime aNow);
  /// Adds the crash to the patterns of the queue that it fits.
  void AddWeight(const gpQueueActivity& aQueue,
                 const std::set<gpCrashPattern>& aFitting,
                 const std::map<gpMillis, double>& aSums);
  /// Subtracts from the patterns of the queue that the crash doesn't fit.
  void SubtractWeight(const gpQueueName& aQueue,
                      const std::set<gpCrashPattern>& aFitting);

  /// The sum of the weights for each pattern, at decayedAt_.
  std::map<gpCrashPattern, double> scores_;
  gpTime decayedAt_;
};

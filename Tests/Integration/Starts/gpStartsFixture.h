#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gpPromiseJudge.h"
#include "gpTestCluster.h"

/// Short timings, so that failures are noticed soon.
gpTimings
gpMakeShortTimings();

/** \class gpStartsFixture
 * \brief A ready cluster with a fault proxy before each guard, and a judge.
 *
 * Tasks are not idempotent. All waits are for events and bounded.
 */
class gpStartsFixture
{
public:
  /// Two entries and three guards, so that all guards hold each key.
  static gpTestClusterOptions DefaultOptions();

  explicit gpStartsFixture(gpTestClusterOptions aOptions = DefaultOptions());

  /// Runs jobs at an entry until one has used all guards, so that the entry is
  /// known to have its links. Later looks pass over what happened so far.
  void WarmUp(std::size_t aEntry);
  /// Starts since the last WarmUp.
  std::size_t TotalStarts() const;
  static gpTestJob MakeJob(const std::string& aKey,
                           std::size_t aTasks,
                           gpMillis aRunTime);
  /// Gives all proxies this mode.
  void SetLinks(const std::string& aMode,
                const std::string& aDirection = "both");
  /// Submits a job to entry 0 and returns when it has won the claim and sent
  /// its starts, which the proxies hold, or lose in another mode.
  gpTestCall SubmitAndHoldStarts(const gpTestJob& aJob,
                                 const std::string& aMode = "hold");
  /// Submits, waits for the answer and notes it.
  gpTestAnswer Ask(std::size_t aEntry, const gpTestJob& aJob);
  /// Asks again until the answer is complete or failed.
  gpTestAnswer AskUntilFinal(std::size_t aEntry, const gpTestJob& aJob);
  /// Waits for the answer of a call and notes it.
  gpTestAnswer Await(const gpTestJob& aJob, gpTestCall& aCall);
  /// Events of this kind at all guards, since the last WarmUp or their start.
  std::size_t CountAtGuards(const std::string& aKind);
  void WaitAtGuards(const std::string& aKind, std::size_t aCount);
  /// The first guard with this event; waits for one.
  std::size_t FindGuardWith(const std::string& aKind);
  /// Links that the proxies have taken since their start.
  std::uint64_t CountLinks();
  /// Waits until each proxy has taken a link more, on average.
  void WaitForNewLinks(std::uint64_t aBefore);
  /// Waits until each proxy has only one link of each entry.
  void WaitForTheEndOfOldLinks();
  void WaitUntil(const std::string& aWhat,
                 const std::function<bool()>& aIsTrue) const;
  /// Waits until nothing is in flight, and returns what the judge says.
  std::string Judge();

  gpTestCluster cluster_;
  gpPromiseJudge judge_;
  static constexpr std::size_t kGuards = 3;

private:
  bool HaveAllAdmitted();
  void MarkAll();
  bool IsIdle();

  std::size_t warmUps_ = 0;
  std::size_t warmUpStarts_ = 0;
};

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gpAnswerChecker.h"
#include "gpTestCluster.h"

/// Short timings, so that failures are detected quickly.
gpTimings
gpMakeShortTimings();

/** \class gpStartsFixture
 * \brief A ready cluster with a fault proxy in front of each guard, and a check
 * of all answers.
 *
 * Tasks are not idempotent. Waits are for events or states and have a time-out.
 */
class gpStartsFixture
{
public:
  /// Two entries and three guards, so that each guard is a replica of each key.
  static gpTestClusterOptions DefaultOptions();

  explicit gpStartsFixture(gpTestClusterOptions aOptions = DefaultOptions());

  /// Runs jobs at an entry until one has used all guards, which shows that the
  /// entry has its links. Later counts and waits skip the events up to now.
  void WarmUp(std::size_t aEntry);
  /// Starts since the last WarmUp.
  std::size_t TotalStarts() const;
  static gpTestJob MakeJob(const std::string& aKey,
                           std::size_t aTasks,
                           gpMillis aRunTime);
  /// Sets the mode of all proxies.
  void SetLinks(const std::string& aMode,
                const std::string& aDirection = "both");
  /// Submits a job to entry 0 and returns when the entry has won the claim and
  /// sent its starts. The proxies hold the starts, or lose them in another
  /// mode.
  gpTestCall SubmitAndHoldStarts(const gpTestJob& aJob,
                                 const std::string& aMode = "hold");
  /// Submits a job, waits for the answer and records it.
  gpTestAnswer SubmitAndRecord(std::size_t aEntry, const gpTestJob& aJob);
  /// Submits the job again until the answer is complete or failed.
  gpTestAnswer SubmitUntilFinal(std::size_t aEntry, const gpTestJob& aJob);
  /// Waits for the answer of a call and records it.
  gpTestAnswer WaitForAnswer(const gpTestJob& aJob, gpTestCall& aCall);
  /// Number of events of this kind at all guards since the last WarmUp, or
  /// since the start of a guard that was started later.
  std::size_t CountAtGuards(const std::string& aKind);
  void WaitAtGuards(const std::string& aKind, std::size_t aCount);
  /// Waits until a guard has written this event; returns the first such guard.
  std::size_t FindGuardWith(const std::string& aKind);
  /// Number of links that the proxies have accepted since their start.
  std::uint64_t CountLinks();
  /// Waits until the proxies have accepted one more link per guard in total.
  void WaitForNewLinks(std::uint64_t aBefore);
  /// Waits until each proxy has at most one open link per entry.
  void WaitUntilOldLinksClosed();
  void WaitUntil(const std::string& aWhat,
                 const std::function<bool()>& aCondition) const;
  /// Waits until no task waits or runs, and returns the violations that the
  /// checker found, one per line.
  std::string FindViolations();

  gpTestCluster cluster_;
  gpAnswerChecker checker_;
  static constexpr std::size_t kGuards = 3;

private:
  bool HaveAllAdmitted();
  void MarkAll();
  bool IsIdle();

  std::size_t warmUps_ = 0;
  std::size_t warmUpStarts_ = 0;
};

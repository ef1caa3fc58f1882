#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "gpCrashMessages.h"
#include "gpTime.h"

/// What a message tells about a crash that was not known before.
enum class gpCrashNovelty
{
  Known,
  New,
  Settled, ///< the crash was known, but not whether it's certain
};

/** \class gpCrashLedger
 * \brief Counts the crashes of targets by the tasks that ran there.
 *
 * Pattern: poison message. A task that crashes its target would crash one after
 * the other if it were placed again each time. The count belongs to the task
 * and not to its job, which ends while the caller may submit it again under the
 * same ID. All entries count the same crashes, so that it doesn't matter which
 * of them places the task.
 *
 * A crash ends all runs at the target, of which one is the cause at most. Those
 * that are suspected are given up after fewer crashes than those that had run
 * for long.
 */
class gpCrashLedger
{
public:
  /// Counts a crash, and corrects the count when it's confirmed or refuted.
  gpCrashNovelty Add(const gpTargetCrash& aCrash, gpTime aNow);
  /// Whether the crash tells nothing new.
  bool IsKnown(const gpTargetCrash& aCrash) const;
  /// Forgets the crashes that are too old.
  void DropOld(gpTime aNow);
  /// Whether the task may be the cause of a crash.
  bool IsSuspected(const std::string& aTask) const;
  /// Whether the task had been running for long when its target crashed, so
  /// that it was hardly the cause.
  bool IsCleared(const std::string& aTask) const;
  /// Whether the task was suspected so often that it is the cause.
  bool IsDeadly(const std::string& aTask) const;
  /// Whether a task of the job must not be started any more.
  bool IsWithheld(const std::string& aJob) const;
  /// Whether, in addition, it's certain that two targets have crashed under it.
  /// Only then may the job be shown as failed.
  bool IsGivenUp(const std::string& aJob) const;

private:
  /// The runs of a task that were lost in crashes, by their numbers. A guard
  /// may name a run again, if the next incarnation of its target crashes before
  /// it has answered.
  struct LostRuns
  {
    std::set<std::uint64_t> all_;
    std::set<std::uint64_t> suspected_;
    /// In confirmed crashes, of targets that had confirmed the start.
    std::set<std::uint64_t> certain_;

    bool IsSuspected() const;
    /// Whether the task must not be started any more.
    bool IsWithheld() const;
  };
  struct Crash
  {
    gpTime notedAt_;
    gpCrashState state_ = gpCrashState::Suspected;
  };
  struct Job
  {
    gpTime crashedAt_;
    /// By the name of the task.
    std::map<std::string, LostRuns> tasks_;
  };

  /// Counts the runs that were lost.
  void Count(const gpTargetCrash& aCrash, gpTime aNow);
  /// Forgets the runs, which were not lost.
  void Forget(const gpTargetCrash& aCrash);
  /// Null if the task was never lost in a crash.
  const LostRuns* Find(const std::string& aTask) const;

  /// By the ID of the job.
  std::map<std::string, Job> jobs_;
  /// The counted crashes, by target and number.
  std::map<std::pair<std::string, std::uint64_t>, Crash> crashes_;
};

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gpLeaseJob.h"
#include "gpQueueTable.h"
#include "gpRunMessages.h"

/// State of a task of a best-effort job.
enum class gpLeaseTaskPhase
{
  Blocked, ///< waits for the end of earlier steps
  Waiting, ///< waits for a target with enough free capacity
  Sent,    ///< a run was ordered from a guard
  Lost,    ///< the link to its guard was lost; it may still be running
  Done,
};

/** \class gpLeaseTask
 * \brief One task of a best-effort job.
 */
struct gpLeaseTask
{
  std::uint32_t step_ = 0;
  std::string name_;
  gpLeaseTaskPhase phase_ = gpLeaseTaskPhase::Blocked;
  /// Number of failed runs.
  std::uint32_t failures_ = 0;
  gpRunId run_;
  gpIncarnation guard_;
  /// Guards at which a run failed or was refused.
  std::set<gpIncarnation> avoid_;
  /// When the link to the guard was lost.
  gpTime lostAt_;
  /// When the run counts as a straggler, and is stopped to place the task
  /// elsewhere.
  gpTime stragglerAt_;
};

/** \class gpLeaseRecord
 * \brief A best-effort job that an entry has accepted.
 */
struct gpLeaseRecord
{
  std::uint64_t sequence_ = 0;
  gpRequestId request_;
  gpLeaseJob job_;
  gpQueue queue_;
  gpTime arrivedAt_;
  /// Response time up to which the answer is in time, by the predicted run
  /// times.
  gpMillis objective_{ 0 };
  /// When the answer must be sent at the latest.
  gpTime deadline_;
  /// The job is refused if none of its tasks was sent by then.
  gpTime startBy_;
  /// Priority among waiting jobs, earliest first: by when it should have
  /// started.
  gpTime dueAt_;
  /// Whether its tasks are expected to end in time only on targets faster than
  /// the median one.
  bool needsFastTarget_ = false;
  /// Number of runs that were sent and not refused by the guard. If it is 0, no
  /// task of the job has run.
  std::uint32_t runsSent_ = 0;
  std::vector<gpLeaseTask> tasks_;
  std::size_t tasksDone_ = 0;

  const gpJobStep& GetStep(const gpLeaseTask& aTask) const
  {
    return job_.steps_[aTask.step_];
  }
  /// Length of the critical path: the largest sum of estimates over a chain of
  /// steps that depend on each other.
  gpMillis GetCriticalPath() const;
};

/** \class gpLeaseJobTable
 * \brief The jobs of an entry, and their waiting tasks in the order in which
 * they are placed.
 */
class gpLeaseJobTable
{
public:
  /// Orders waiting tasks: those that need a fast target first, as the others
  /// can use any target; among them by the due time of the job.
  struct WaitingKey
  {
    bool anySpeed_ = true;
    gpTime dueAt_;
    std::uint64_t job_ = 0;
    std::size_t task_ = 0;

    // A false positive of clang-tidy 14, see gpStrongType.h.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const WaitingKey&) const = default;
  };

  /// Adds a job; the tasks of steps without dependencies become waiting.
  gpLeaseRecord& Add(gpLeaseRecord aRecord);
  void Remove(std::uint64_t aSequence);
  /// Makes aRequest, with which the caller submitted the job again, the one
  /// that gets the answer.
  void ReplaceRequest(gpLeaseRecord& aJob, gpRequestId aRequest);
  gpLeaseRecord* Find(std::uint64_t aSequence);
  gpLeaseRecord* FindByRequest(gpRequestId aRequest);
  gpLeaseRecord* FindById(const std::string& aId);
  /// Number of tasks of all jobs.
  std::size_t CountTasks() const { return taskCount_; }
  bool HasId(const std::string& aId) const { return byId_.contains(aId); }
  /// The job and task index of a run in flight; null if the run is unknown.
  std::pair<gpLeaseRecord*, std::size_t> FindRun(const gpRunId& aRun);
  /// The jobs and task indexes in phase aPhase whose run was ordered from
  /// aGuard.
  std::vector<std::pair<gpLeaseRecord*, std::size_t>> ListAt(
    gpIncarnation aGuard,
    gpLeaseTaskPhase aPhase);

  void SetWaiting(gpLeaseRecord& aJob, std::size_t aTask);
  void Send(gpLeaseRecord& aJob,
            std::size_t aTask,
            gpIncarnation aGuard,
            std::uint64_t aRunNumber);
  /// Changes the phase of a task whose run has ended, or whose guard was lost.
  void ChangePhase(gpLeaseRecord& aJob,
                   std::size_t aTask,
                   gpLeaseTaskPhase aPhase);
  /// Makes the tasks of each step waiting whose earlier steps are all done.
  void Unblock(gpLeaseRecord& aJob);

  const std::set<WaitingKey>& GetWaiting() const { return waiting_; }
  std::map<std::uint64_t, gpLeaseRecord>& GetAll() { return jobs_; }
  const std::map<std::uint64_t, gpLeaseRecord>& GetAll() const { return jobs_; }

private:
  WaitingKey KeyOf(const gpLeaseRecord& aJob, std::size_t aTask) const
  {
    return { !aJob.needsFastTarget_, aJob.dueAt_, aJob.sequence_, aTask };
  }

  std::map<std::uint64_t, gpLeaseRecord> jobs_;
  std::map<gpRequestId, std::uint64_t> byRequest_;
  std::map<std::string, std::uint64_t> byId_;
  std::map<gpRunId, std::pair<std::uint64_t, std::size_t>> byRun_;
  std::set<WaitingKey> waiting_;
  std::uint64_t lastSequence_ = 0;
  std::size_t taskCount_ = 0;
};

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

/// Where a task of a best-effort job stands.
enum class gpLeaseTaskPhase
{
  Blocked, ///< waits for earlier steps
  Waiting, ///< waits for room
  Sent,    ///< ordered at a guard
  Lost,    ///< its guard was lost; it may still be at work
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
  /// Runs that failed.
  std::uint32_t failures_ = 0;
  gpRunId run_;
  gpIncarnation guard_;
  /// Guards at which a run failed or was refused.
  std::set<gpIncarnation> avoid_;
  /// When the guard was lost.
  gpTime lostAt_;
  /// When the run is so late that it's better placed elsewhere.
  gpTime recallAt_;
};

/** \class gpLeaseRecord
 * \brief A best-effort job that an entry has taken in.
 */
struct gpLeaseRecord
{
  std::uint64_t sequence_ = 0;
  gpRequestId request_;
  gpLeaseJob job_;
  gpQueue queue_;
  gpTime arrivedAt_;
  /// The caller doesn't wait longer.
  gpTime deadline_;
  /// If no task was sent by then, the job is refused.
  gpTime startBy_;
  /// Its place among the jobs that wait: when it should have started.
  gpTime dueAt_;
  /// Its tasks end in time only on fast targets.
  bool needsFast_ = false;
  /// Runs that were sent and weren't refused: 0 means that nothing has run.
  std::uint32_t begun_ = 0;
  std::vector<gpLeaseTask> tasks_;
  std::size_t tasksDone_ = 0;

  const gpJobStep& GetStep(const gpLeaseTask& aTask) const
  {
    return job_.steps_[aTask.step_];
  }
  /// Sum of the estimates of the steps that depend on each other.
  gpMillis GetChain() const;
};

/** \class gpLeaseJobTable
 * \brief The jobs of an entry, and their waiting tasks in the order in which
 * they get room.
 */
class gpLeaseJobTable
{
public:
  /// Orders waiting tasks: those that need a fast target come first, as others
  /// have a choice; among them, whose job is due first.
  struct WaitingKey
  {
    bool hasChoice_ = true;
    gpTime dueAt_;
    std::uint64_t job_ = 0;
    std::size_t task_ = 0;

    // A false positive of clang-tidy 14, see gpStrongType.h.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const WaitingKey&) const = default;
  };

  /// Takes a job in; its first steps wait for room.
  gpLeaseRecord& Add(gpLeaseRecord aRecord);
  void Remove(std::uint64_t aSequence);
  /// The caller submitted the job again, so the new request gets its answer.
  void Rebind(gpLeaseRecord& aJob, gpRequestId aRequest);
  gpLeaseRecord* Find(std::uint64_t aSequence);
  gpLeaseRecord* FindByRequest(gpRequestId aRequest);
  gpLeaseRecord* FindById(const std::string& aId);
  bool HasId(const std::string& aId) const { return byId_.contains(aId); }
  /// The job and task of a run that is under way; null if it's none.
  std::pair<gpLeaseRecord*, std::size_t> FindRun(const gpRunId& aRun);
  /// The jobs and tasks in this phase whose run was ordered at the guard.
  std::vector<std::pair<gpLeaseRecord*, std::size_t>> ListAt(
    gpIncarnation aGuard,
    gpLeaseTaskPhase aPhase);

  void Wait(gpLeaseRecord& aJob, std::size_t aTask);
  void Send(gpLeaseRecord& aJob,
            std::size_t aTask,
            gpIncarnation aGuard,
            std::uint64_t aRunNumber);
  /// The run of a task is over, or its guard was lost.
  void TakeBack(gpLeaseRecord& aJob,
                std::size_t aTask,
                gpLeaseTaskPhase aPhase);
  /// Lets the steps wait for room whose earlier steps are all done.
  void Unblock(gpLeaseRecord& aJob);

  const std::set<WaitingKey>& GetWaiting() const { return waiting_; }
  std::map<std::uint64_t, gpLeaseRecord>& GetAll() { return jobs_; }
  const std::map<std::uint64_t, gpLeaseRecord>& GetAll() const { return jobs_; }

private:
  WaitingKey KeyOf(const gpLeaseRecord& aJob, std::size_t aTask) const
  {
    return { !aJob.needsFast_, aJob.dueAt_, aJob.sequence_, aTask };
  }

  std::map<std::uint64_t, gpLeaseRecord> jobs_;
  std::map<gpRequestId, std::uint64_t> byRequest_;
  std::map<std::string, std::uint64_t> byId_;
  std::map<gpRunId, std::pair<std::uint64_t, std::size_t>> byRun_;
  std::set<WaitingKey> waiting_;
  std::uint64_t lastSequence_ = 0;
};

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gpClientLimits.h"
#include "gpCrashMonitor.h"
#include "gpEndedJobs.h"
#include "gpEntryPeers.h"
#include "gpLeaseAdmission.h"
#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpLoopLag.h"
#include "gpRunDispatcher.h"
#include "gpTargetTable.h"

/** \class gpLeaseEntryOptions
 * \brief Start options of an entry for best-effort jobs.
 */
struct gpLeaseEntryOptions
{
  /// This entry as it is announced to other processes.
  gpKnownEntry self_;
  /// Number of other entries to be linked with.
  std::size_t links_ = 4;
  /// Run numbers begin above this; it must be higher than any run number of
  /// earlier incarnations, as targets refuse lower numbers.
  std::uint64_t firstRun_ = 1;
  /// Longest time from the shutdown request to the end of the process.
  gpMillis shutdown_{ 0 };
  /// Most tasks of all jobs together that haven't been answered, at least those
  /// of one job. Further jobs are refused.
  std::size_t mostTasks_ = gpClientLimits{}.tasks_;
};

/** \class gpLeaseEntryStatus
 * \brief The state of an entry, for its status page and metrics.
 */
struct gpLeaseEntryStatus
{
  gpConfigVersion version_;
  std::size_t jobs_ = 0;
  std::size_t waiting_ = 0;
  std::size_t guards_ = 0;
  std::size_t entries_ = 0;
  /// Targets that were considered while placing tasks, since the start: a
  /// measure of the work of placement.
  std::uint64_t targetsConsidered_ = 0;
  /// How long received messages and requests wait in this process before they
  /// are read (gpLoopLag).
  gpMillis loopLag_{ 0 };
  bool ready_ = false;
};

/** \class gpLeaseEntryReducer
 * \brief All decisions of an entry for best-effort jobs: accepts or refuses a
 * job, places its tasks at targets and answers the caller.
 */
class gpLeaseEntryReducer
{
public:
  explicit gpLeaseEntryReducer(gpLeaseEntryOptions aOptions);

  std::vector<gpLeaseEffect> Reduce(const gpLeaseEntryEvent& aEvent);
  gpLeaseEntryStatus GetStatus() const;
  const gpQueueTable& GetQueues() const { return queues_; }
  /// Number of jobs of the queue none of whose tasks has been started.
  std::size_t CountPending(const gpQueueName& aQueue) const;
  bool HasJob(const std::string& aJob) const;

private:
  void On(const gpLeaseJobSubmitted& aEvent);
  void On(const gpLeaseJobCancelled& aEvent);
  void On(const gpCallerDisconnected& aEvent);
  void On(const gpQueuesChanged& aEvent);
  void On(const gpEntriesFound& aEvent);
  void On(const gpLinkOpened& aEvent);
  void On(const gpLinkLost& aEvent);
  void On(const gpDialFailed& aEvent);
  void On(const gpMessageReceived& aEvent);
  void On(const gpTimePassed& aEvent);
  void On(const gpShutdownRequested& aEvent);

  void OnMessage(gpLinkId aLink, const gpRunReport& aMessage);
  void OnMessage(gpLinkId aLink, const gpRunsHeld& aMessage);
  void OnMessage(gpLinkId aLink, const gpTargetUpdate& aMessage);
  void OnMessage(gpLinkId aLink, const gpCapacityReport& aMessage);
  void OnMessage(gpLinkId aLink, const gpEntryUpdate& aMessage);
  /// Ignores message types that entries for best-effort jobs don't handle.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  /// Answers a job that is not accepted. aQueue is null if it has none.
  void Refuse(const gpLeaseJobSubmitted& aEvent,
              const gpQueue* aQueue,
              const gpLeaseAnswer& aAnswer);
  /// Answers a request for a job that has ended; returns false if it isn't
  /// known to have.
  bool AnswerEnded(const gpLeaseJobSubmitted& aEvent);
  /// Answers the caller, cancels the job's runs and removes the job.
  void EndJob(gpLeaseRecord& aJob, const gpLeaseAnswer& aAnswer);
  void FailJob(gpLeaseRecord& aJob, gpLeaseReason aReason);
  /// Counts a crash of a target, tells the other entries of it, and fails the
  /// jobs that have to be given up.
  void LearnCrash(const gpTargetCrash& aCrash);
  /// Keeps in mind that the job was cancelled here or elsewhere, tells the
  /// other entries, and ends it if it's in progress here.
  void LearnCancelled(const gpEndedJob& aJob);
  /// Another entry has completed the job: ends it if it's in progress here.
  void LearnCompleted(const gpEndedJob& aJob);
  void OnTaskDone(gpLeaseRecord& aJob, std::size_t aTask);
  /// A run ended without completing its task: places the task again, or fails
  /// the job if its attempts are used up.
  void OnTaskNotDone(gpLeaseRecord& aJob, std::size_t aTask, gpRunEnd aEnd);
  /// Checks the deadlines, lost runs and stragglers of all jobs.
  void CheckAllTimes();
  void CheckTimes(gpLeaseRecord& aJob);
  /// The link to a guard was lost; its runs end within kLinkLossBound.
  void LoseGuard(gpIncarnation aGuard);
  /// Whether the job can be expected to end before this process does.
  bool EndsBeforeShutdown(const gpLeaseRecord& aJob) const;
  /// Whether the shutdown is in its last part, in which the process ends as
  /// soon as it has no jobs.
  bool IsEnding() const;
  void ContinueShutdown();
  /// Answers all remaining jobs when the shutdown time has passed.
  void AnswerAll();
  void ScheduleWake();
  void WriteJob(gpEventKind aKind,
                const gpLeaseRecord& aJob,
                const std::string& aDetail);

  gpLeaseEntryOptions options_;
  gpTime now_;
  gpLeaseEffects out_;
  gpQueueTable queues_;
  gpEntryPeers peers_;
  gpTargetTable targetTable_;
  gpLeaseJobTable jobs_;
  gpEndedJobs cancelled_;
  gpEndedJobs completed_;
  gpCrashMonitor crashes_;
  gpLeaseAdmission admission_;
  gpRunDispatcher dispatcher_;
  std::map<gpLinkId, gpIncarnation> guards_;
  gpTime wakeAt_;
  gpLoopLag lag_;
  gpTime shutdownAt_ = gpTime::max();
  bool callerConnectionsClosed_ = false;
  bool stopped_ = false;
};

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gpEntryPeers.h"
#include "gpLeaseAdmission.h"
#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpLoopLag.h"
#include "gpRunDispatcher.h"
#include "gpTargetBoard.h"

/** \class gpLeaseEntryOptions
 * \brief What an entry for best-effort jobs is told at its start.
 */
struct gpLeaseEntryOptions
{
  /// This entry as others hear of it.
  gpKnownEntry self_;
  /// Other entries to be linked with.
  std::size_t links_ = 4;
  /// Run numbers begin above this; higher than those of any former incarnation.
  std::uint64_t firstRun_ = 1;
  /// Longest time between the request to end and the end.
  gpMillis shutdown_{ 0 };
};

/** \class gpLeaseEntryStatus
 * \brief What an entry shows of itself.
 */
struct gpLeaseEntryStatus
{
  gpConfigVersion version_;
  std::size_t jobs_ = 0;
  std::size_t waiting_ = 0;
  std::size_t guards_ = 0;
  std::size_t entries_ = 0;
  /// Targets looked at to place tasks, since the start.
  std::uint64_t looks_ = 0;
  /// How long what the entry was sent waits unread.
  gpMillis behind_{ 0 };
  bool ready_ = false;
};

/** \class gpLeaseEntryReducer
 * \brief All decisions of an entry for best-effort jobs: takes a job in or
 * refuses it, places its tasks at targets and answers the caller.
 */
class gpLeaseEntryReducer
{
public:
  explicit gpLeaseEntryReducer(gpLeaseEntryOptions aOptions);

  std::vector<gpLeaseEffect> Reduce(const gpLeaseEntryEvent& aEvent);
  gpLeaseEntryStatus GetStatus() const;
  const gpQueueTable& GetQueues() const { return queues_; }
  /// Jobs of the queue of which no task has been started.
  std::size_t CountPending(const gpQueueName& aQueue) const;
  bool HasJob(const std::string& aJob) const;

private:
  void On(const gpLeaseJobSubmitted& aEvent);
  void On(const gpLeaseJobCancelled& aEvent);
  void On(const gpCallerGone& aEvent);
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
  void OnMessage(gpLinkId aLink, const gpTargetNews& aMessage);
  void OnMessage(gpLinkId aLink, const gpRoomReport& aMessage);
  void OnMessage(gpLinkId aLink, const gpEntryNews& aMessage);
  /// A message that these entries don't take.
  template<typename Message>
  void OnMessage(gpLinkId, const Message&)
  {
  }

  void Refuse(const gpLeaseJobSubmitted& aEvent, const gpLeaseAnswer& aAnswer);
  /// Answers the caller, stops what runs and forgets the job.
  void EndJob(gpLeaseRecord& aJob, const gpLeaseAnswer& aAnswer);
  void FailJob(gpLeaseRecord& aJob, gpLeaseReason aReason);
  void OnTaskDone(gpLeaseRecord& aJob, std::size_t aTask);
  void OnTaskBack(gpLeaseRecord& aJob, std::size_t aTask, gpRunEnd aEnd);
  /// Gives up what can't be served any more.
  void GiveUpLate();
  void GiveUpOrRecall(gpLeaseRecord& aJob);
  void LoseGuard(gpIncarnation aGuard);
  /// Whether the job can be expected to end before this process does.
  bool EndsBeforeShutdown(const gpLeaseRecord& aJob) const;
  /// Whether the process ends as soon as it has no jobs.
  bool IsEnding() const;
  void ContinueShutdown();
  /// The time for the shutdown is over: gives up the jobs that are left.
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
  gpTargetBoard board_;
  gpLeaseJobTable jobs_;
  gpLeaseAdmission admission_;
  gpRunDispatcher dispatcher_;
  std::map<gpLinkId, gpIncarnation> guards_;
  gpTime wakeAt_;
  gpLoopLag lag_;
  gpTime shutdownAt_ = gpTime::max();
  bool callersSentAway_ = false;
  bool stopped_ = false;
};

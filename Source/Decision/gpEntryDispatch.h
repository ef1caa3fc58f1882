#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gpAnswer.h"
#include "gpConfiguration.h"
#include "gpDispatchQueue.h"
#include "gpEffect.h"
#include "gpGuardDirectory.h"
#include "gpIds.h"
#include "gpJob.h"
#include "gpPlacementPolicy.h"
#include "gpProcessSettings.h"
#include "gpRetryBudget.h"
#include "gpStartMessages.h"
#include "gpTime.h"

class gpJobTable;

/** \class gpJobUpdate
 * \brief The state of a task has changed, so its job may be complete or have
 * failed.
 */
struct gpJobUpdate
{
  gpJobId job_;
  /// Set if the job can no longer complete.
  std::optional<gpFailureCode> failure_;
};

/** \class gpEntryDispatch
 * \brief Sends waiting tasks to guards that have free slots, and tracks each
 * attempt until its result is known.
 *
 * A task is sent again, to any guard, only after the guard of the last attempt
 * has confirmed that this attempt was not run and never will be.
 */
class gpEntryDispatch
{
public:
  gpEntryDispatch(gpTimings aTimings,
                  std::uint64_t aSeed,
                  gpJobTable& aJobs,
                  gpGuardDirectory& aGuards);

  void SetConfiguration(const gpConfiguration& aConfiguration);

  /// Adds all tasks of the job to the queue of its service.
  void Enqueue(const gpJob& aJob);
  /// Drops the waiting tasks of the job, and collects cancels for those that
  /// were sent.
  void Abandon(gpJob& aJob, gpEffects& aOut);
  /// Sends waiting tasks while guards have free slots.
  void Dispatch(gpTime aNow, gpEffects& aOut);
  /// Sends the cancels collected since the last call, one message per guard.
  void FlushCancels(gpEffects& aOut);
  bool HasCancels() const { return !cancels_.empty(); }

  /// Asks the guard for the state of the attempts that were sent to it and have
  /// no result yet.
  void OnGuardLinked(gpGuardView& aGuard, gpEffects& aOut);
  /// Marks the open attempts of the guard as in doubt.
  void OnGuardLinkLost(gpGuardView& aGuard, gpTime aNow, gpEffects& aOut);
  /// The guard's process has ended, or was unreachable for too long. The
  /// results of its open attempts can't be learned any more, so their jobs
  /// fail.
  void OnGuardEnded(gpGuardView& aGuard, gpEffects& aOut);
  void OnSlotReport(gpGuardView& aGuard,
                    const gpSlotReport& aReport,
                    gpTime aNow,
                    gpEffects& aOut);
  /// The guard has not run the attempt: queues its task again, or fails its
  /// job.
  void OnRefused(gpGuardView& aGuard,
                 const gpStartRefused& aRefused,
                 gpTime aNow,
                 gpEffects& aOut);
  void OnResult(gpGuardView& aGuard,
                const gpStartResult& aResult,
                gpTime aNow,
                gpEffects& aOut);
  /// The guard has sent the states of attempts that were in doubt.
  void OnResolved(gpGuardView& aGuard,
                  const gpResolveReply& aReply,
                  gpEffects& aOut);
  /// Fails the jobs of attempts that have been in doubt for too long.
  void OnTime(gpTime aNow, gpEffects& aOut);
  /// Returns and clears the updates for gpEntryJobs.
  std::vector<gpJobUpdate> TakeUpdates();

  std::size_t CountWaiting(const gpServiceName& aService) const;
  std::size_t CountWaiting() const;
  std::size_t CountInFlight() const;

private:
  struct Service
  {
    gpServiceConfig config_;
    gpDispatchQueue queue_;
    gpRetryBudget budget_;
    std::unique_ptr<gpPlacementPolicy> policy_;
  };

  /// The task of the attempt if the attempt is its last one and has no result
  /// yet; null otherwise.
  gpTask* FindAttempt(const gpAttemptId& aAttempt);
  void PushTask(const gpJob& aJob, gpTaskIndex aTask);
  void DispatchService(Service& aService, gpTime aNow, gpEffects& aOut);
  void SendTask(gpGuardView& aGuard,
                const gpTaskId& aTask,
                Service& aService,
                gpTime aNow,
                gpEffects& aOut);
  /// Queues the task of an attempt that was not run, unless that exceeds the
  /// limit on its attempts or the retry budget; then its job fails.
  void Requeue(const gpAttemptId& aAttempt, gpRefusal aReason);
  void NoteFailure(gpGuardView& aGuard, gpTime aNow, gpEffects& aOut);
  void EndTask(gpTask& aTask, const gpStartResult& aResult);

  gpTimings timings_;
  std::uint64_t seed_;
  gpJobTable& jobs_;
  gpGuardDirectory& guards_;
  std::map<gpServiceName, Service> services_;
  std::map<gpTeamName, std::uint32_t> teamWeights_;
  std::vector<gpJobUpdate> updates_;
  /// The cancels that FlushCancels will send, by guard.
  std::map<gpIncarnation, gpCancel> cancels_;
};

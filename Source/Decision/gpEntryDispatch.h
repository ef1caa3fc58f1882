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

/** \class gpJobNews
 * \brief Something happened to a task, so its job may have ended.
 */
struct gpJobNews
{
  gpJobId job_;
  /// Set if the job can't have a complete answer any more.
  std::optional<gpFailureCode> failure_;
};

/** \class gpEntryDispatch
 * \brief Sends waiting tasks to guards with room, and follows what became of
 * each attempt.
 *
 * An attempt is repeated elsewhere only after its guard said that it was not
 * run and never will be.
 */
class gpEntryDispatch
{
public:
  gpEntryDispatch(gpTimings aTimings,
                  std::uint64_t aSeed,
                  gpJobTable& aJobs,
                  gpGuardDirectory& aGuards);

  void SetConfiguration(const gpConfiguration& aConfiguration);

  /// The tasks of the job may start from now on.
  void Enqueue(const gpJob& aJob);
  /// Drops the tasks of the job that wait, and cancels those that were sent.
  void Abandon(gpJob& aJob, gpEffects& aOut);
  /// Sends as many waiting tasks as there is room for.
  void Dispatch(gpTime aNow, gpEffects& aOut);
  /// Sends the cancels collected since the last call, one message a guard.
  void FlushCancels(gpEffects& aOut);
  bool HasCancels() const { return !cancels_.empty(); }

  void OnGuardLinked(gpGuardView& aGuard, gpEffects& aOut);
  void OnGuardLost(gpGuardView& aGuard, gpTime aNow, gpEffects& aOut);
  /// The guard's process has ended: its attempts stay in doubt for good.
  void OnGuardGone(gpGuardView& aGuard, gpEffects& aOut);
  void OnSlotReport(gpGuardView& aGuard,
                    const gpSlotReport& aReport,
                    gpTime aNow,
                    gpEffects& aOut);
  void OnRefused(gpGuardView& aGuard,
                 const gpStartRefused& aRefused,
                 gpTime aNow,
                 gpEffects& aOut);
  void OnResult(gpGuardView& aGuard,
                const gpStartResult& aResult,
                gpTime aNow,
                gpEffects& aOut);
  void OnResolved(gpGuardView& aGuard,
                  const gpResolveReply& aReply,
                  gpEffects& aOut);
  /// Gives up attempts that have been in doubt for too long.
  void OnTime(gpTime aNow, gpEffects& aOut);
  std::vector<gpJobNews> TakeNews();

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

  /// The task if the attempt is its newest and hasn't ended; else null.
  gpTask* FindAttempt(const gpAttemptId& aAttempt);
  void PushTask(const gpJob& aJob, gpTaskIndex aTask);
  void DispatchService(Service& aService, gpTime aNow, gpEffects& aOut);
  void SendTask(gpGuardView& aGuard,
                const gpTaskId& aTask,
                Service& aService,
                gpTime aNow,
                gpEffects& aOut);
  void Requeue(const gpAttemptId& aAttempt, gpRefusal aReason);
  void NoteFailure(gpGuardView& aGuard, gpTime aNow, gpEffects& aOut);
  void EndTask(gpTask& aTask, const gpStartResult& aResult);

  gpTimings timings_;
  std::uint64_t seed_;
  gpJobTable& jobs_;
  gpGuardDirectory& guards_;
  std::map<gpServiceName, Service> services_;
  std::map<gpTeamName, std::uint32_t> teamWeights_;
  std::vector<gpJobNews> news_;
  std::map<gpIncarnation, gpCancel> cancels_;
};

#pragma once

#include <cstddef>
#include <optional>

#include "gpCrashLedger.h"
#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpQueueContainment.h"
#include "gpRunTimeEstimator.h"
#include "gpTargetTable.h"

/** \class gpLeaseAdmission
 * \brief Decides whether an entry accepts a best-effort job.
 *
 * Pattern: admission control by predicted delay. If the waiting tasks that are
 * due earlier would keep a job from starting in time for its objective, it's
 * refused on arrival, so that its caller has time left to submit it elsewhere.
 */
class gpLeaseAdmission
{
public:
  gpLeaseAdmission(const gpTargetTable& aTargetTable,
                   const gpLeaseJobTable& aJobs,
                   const gpQueueContainment& aContainment)
    : targetTable_(aTargetTable)
    , jobs_(aJobs)
    , containment_(aContainment)
  {
  }

  /// The refusal of a job that can't be served at any load (no configuration,
  /// no queue, no target or tasks that are too large); not set if it can be
  /// served.
  std::optional<gpLeaseAnswer> FindRefusal(const gpLeaseJob& aJob,
                                           const gpQueue* aQueue,
                                           bool aIsConfigured) const;
  /// The answer to a job with a task that must not be started any more, as it
  /// has crashed targets; not set if it has none.
  static std::optional<gpLeaseAnswer> FindCrashRefusal(
    const gpLeaseJob& aJob,
    const gpCrashLedger& aCrashes);
  /// The record of an accepted job, with its deadlines and the predicted run
  /// times of its tasks.
  gpLeaseRecord MakeRecord(const gpLeaseJobSubmitted& aEvent,
                           const gpQueue& aQueue,
                           gpTime aArrivedAt,
                           gpTime aNow);
  /// Predicts how long a job would wait for free capacity: the work of waiting
  /// tasks that are due earlier, over this entry's share of the targets. Only
  /// jobs of the same speed class (needsFastTarget_) and scope are counted, as
  /// others wait for other targets.
  gpMillis PredictWait(const gpLeaseRecord& aJob) const;
  /// The answer to a job that would start too late, or has not started in time.
  gpLeaseAnswer RefuseOverloaded(const gpLeaseRecord& aJob) const;
  /// The answer to a job with more tasks than the entry has room for now.
  static gpLeaseAnswer RefuseTooManyTasks();
  /// The requirements of a task of the job, for the choice of a target.
  static gpPlacementNeed NeedOf(const gpLeaseRecord& aJob,
                                const gpJobStep& aStep,
                                gpTime aNow);

private:
  /// Whether there is a target in the scope for each step of the job.
  bool CouldHold(const gpLeaseJob& aJob,
                 const gpServiceName& aService,
                 gpPlacementScope aScope) const;

  const gpTargetTable& targetTable_;
  const gpLeaseJobTable& jobs_;
  const gpQueueContainment& containment_;
  gpRunTimeEstimator estimator_;
};

#pragma once

#include <cstddef>
#include <optional>

#include "gpLeaseEvent.h"
#include "gpLeaseJobTable.h"
#include "gpLengthEstimator.h"
#include "gpTargetBoard.h"

/** \class gpLeaseAdmission
 * \brief Decides whether a best-effort job is taken in.
 *
 * Pattern: admission control by predicted delay. A job that the work ahead of
 * it would keep from starting within a part of its objective is refused at
 * once, so that the caller has time to go elsewhere.
 */
class gpLeaseAdmission
{
public:
  gpLeaseAdmission(const gpTargetBoard& aBoard, const gpLeaseJobTable& aJobs)
    : board_(aBoard)
    , jobs_(aJobs)
  {
  }

  /// Why the job can't be served, whatever the load; not set if it can.
  std::optional<gpLeaseAnswer> FindRefusal(const gpLeaseJob& aJob,
                                           const gpQueue* aQueue,
                                           bool aIsConfigured) const;
  /// The job with its deadlines and the predicted lengths of its tasks.
  gpLeaseRecord MakeRecord(const gpLeaseJobSubmitted& aEvent,
                           const gpQueue& aQueue,
                           gpTime aArrivedAt,
                           gpTime aNow);
  /// How long a job would wait for room, going by the work that comes before
  /// it; that of other kinds of target doesn't count.
  gpMillis PredictWait(const gpLeaseRecord& aJob) const;
  /// The refusal of a job that would start too late, or hasn't started.
  gpLeaseAnswer RefuseOverloaded(const gpLeaseRecord& aJob) const;
  /// What a task of the job asks of a target.
  static gpPlacementNeed NeedOf(const gpLeaseRecord& aJob,
                                const gpJobStep& aStep,
                                gpTime aNow);

private:
  const gpTargetBoard& board_;
  const gpLeaseJobTable& jobs_;
  gpLengthEstimator lengths_;
};

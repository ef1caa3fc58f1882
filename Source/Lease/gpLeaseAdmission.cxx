#include "gpLeaseAdmission.h"

#include <algorithm>
#include <cmath>

#include "gpScaled.h"

namespace {

/// A job is refused if none of its tasks was sent within its objective divided
/// by this number, so that the caller has time left to submit it elsewhere.
constexpr int kStartByPart = 4;
constexpr gpMillis kShortestStartBy{ 20 };
/// How long before the caller's timeout the answer is sent at the latest.
constexpr gpMillis kAnswerMargin{ 10 };
/// Timeout of callers that don't declare one.
constexpr gpMillis kDefaultCallerTimeout{ 10000 };
/// Bounds of the retry time in answers. The HTTP header Retry-After counts in
/// whole seconds.
constexpr gpMillis kShortestRetry{ 1000 };
constexpr gpMillis kLongestRetry{ 10000 };
/// Shortest retry time for jobs of a queue whose tasks crash targets: until
/// some of the targets that serve it are back.
constexpr gpMillis kContainedRetry{ 3000 };
/// A job should start at the latest its expected run time, multiplied by this
/// factor, before its deadline.
constexpr double kRunTimeMargin = 1.5;

gpMillis
CallerTimeoutOf(const gpLeaseJob& aJob, const gpQueue& aQueue)
{
  const gpMillis callerTimeout = aJob.callerTimeout_ > gpMillis(0)
                                   ? aJob.callerTimeout_
                                   : kDefaultCallerTimeout;
  return aQueue.timeout_ > gpMillis(0)
           ? std::min(callerTimeout, aQueue.timeout_)
           : callerTimeout;
}

} // namespace

std::optional<gpLeaseAnswer>
gpLeaseAdmission::FindRefusal(const gpLeaseJob& aJob,
                              const gpQueue* aQueue,
                              bool aIsConfigured) const
{
  using Outcome = gpLeaseOutcome;
  using Reason = gpLeaseReason;
  if (!aIsConfigured) {
    return gpLeaseAnswer{ Outcome::NotRun,
                          Reason::NoConfiguration,
                          kShortestRetry };
  }
  if (aQueue == nullptr) {
    return gpLeaseAnswer{ Outcome::NoQueue, Reason::None, std::nullopt };
  }
  const gpServiceName& service = aQueue->service_;
  constexpr auto kAny = gpPlacementScope::AnyTarget;
  if (!targetTable_.HasTarget(service, kAny)) {
    return gpLeaseAnswer{ Outcome::NotRun, Reason::NoTarget, kShortestRetry };
  }
  if (!CouldHold(aJob, service, kAny)) {
    return gpLeaseAnswer{ Outcome::NotRun, Reason::TooLarge, std::nullopt };
  }
  const gpPlacementScope scope = containment_.ScopeOf(*aQueue);
  if (scope != kAny && !(targetTable_.HasTarget(service, scope) &&
                         CouldHold(aJob, service, scope))) {
    return gpLeaseAnswer{ Outcome::NotRun,
                          Reason::QueueContained,
                          kContainedRetry };
  }
  return std::nullopt;
}

bool
gpLeaseAdmission::CouldHold(const gpLeaseJob& aJob,
                            const gpServiceName& aService,
                            gpPlacementScope aScope) const
{
  return std::all_of(
    aJob.steps_.begin(), aJob.steps_.end(), [&](const gpJobStep& aStep) {
      return targetTable_.CouldHold(aService, aScope, aStep.needs_);
    });
}

std::optional<gpLeaseAnswer>
gpLeaseAdmission::FindCrashRefusal(const gpLeaseJob& aJob,
                                   const gpCrashLedger& aCrashes)
{
  if (!aCrashes.IsWithheld(aJob.id_)) {
    return std::nullopt;
  }
  if (aCrashes.IsGivenUp(aJob.id_)) {
    return gpLeaseAnswer{ gpLeaseOutcome::Failed,
                          gpLeaseReason::TaskCrashes,
                          std::nullopt };
  }
  // The crashes are certain when the targets are back, within some seconds.
  return gpLeaseAnswer{ gpLeaseOutcome::NotRun,
                        gpLeaseReason::TaskSuspected,
                        kContainedRetry };
}

gpLeaseRecord
gpLeaseAdmission::MakeRecord(const gpLeaseJobSubmitted& aEvent,
                             const gpQueue& aQueue,
                             gpTime aArrivedAt,
                             gpTime aNow)
{
  gpLeaseRecord record;
  record.request_ = aEvent.request_;
  record.job_ = aEvent.job_;
  for (gpJobStep& step : record.job_.steps_) {
    step.estimate_ = estimator_.Predict(aQueue.name_, step.estimate_);
  }
  record.queue_ = aQueue;
  record.arrivedAt_ = aArrivedAt;
  record.deadline_ =
    aArrivedAt + CallerTimeoutOf(aEvent.job_, aQueue) - kAnswerMargin;
  const gpMillis criticalPath = record.GetCriticalPath();
  record.objective_ =
    gpScaled(criticalPath, aQueue.stretch_) + aQueue.allowance_;
  record.startBy_ =
    aArrivedAt + std::max(kShortestStartBy, record.objective_ / kStartByPart);
  // A long job has to start early enough to end before its caller's timeout.
  record.dueAt_ = std::min(
    record.startBy_, record.deadline_ - gpScaled(criticalPath, kRunTimeMargin));
  record.needsFastTarget_ = targetTable_.NeedsFastTarget(
    NeedOf(record, record.job_.steps_[0], aNow), aNow);
  return record;
}

gpMillis
gpLeaseAdmission::PredictWait(const gpLeaseRecord& aJob) const
{
  const gpPlacementScope scope = containment_.ScopeOf(aJob.queue_);
  double work = 0;
  for (const auto& key : jobs_.GetWaiting()) {
    const gpLeaseRecord& job = jobs_.GetAll().at(key.job_);
    if (job.needsFastTarget_ != aJob.needsFastTarget_ ||
        job.dueAt_ > aJob.dueAt_ || containment_.ScopeOf(job.queue_) != scope) {
      continue;
    }
    const gpJobStep& step = job.GetStep(job.tasks_[key.task_]);
    work += static_cast<double>(step.needs_.milliCores_) *
            static_cast<double>(step.estimate_.count());
  }
  const double share = targetTable_.GetShare(aJob.queue_.service_, scope);
  if (work == 0 || share == 0) {
    return gpMillis(0);
  }
  return gpMillis(std::llround(work / share));
}

gpLeaseAnswer
gpLeaseAdmission::RefuseOverloaded(const gpLeaseRecord& aJob) const
{
  const gpMillis shortest = containment_.IsContained(aJob.queue_.name_)
                              ? kContainedRetry
                              : kShortestRetry;
  return { gpLeaseOutcome::NotRun,
           gpLeaseReason::Overloaded,
           std::clamp(PredictWait(aJob), shortest, kLongestRetry) };
}

gpLeaseAnswer
gpLeaseAdmission::RefuseTooManyTasks()
{
  return { gpLeaseOutcome::NotRun,
           gpLeaseReason::TooManyTasks,
           kShortestRetry };
}

gpPlacementNeed
gpLeaseAdmission::NeedOf(const gpLeaseRecord& aJob,
                         const gpJobStep& aStep,
                         gpTime aNow)
{
  const auto waited =
    std::chrono::duration_cast<gpMillis>(aNow - aJob.arrivedAt_);
  gpPlacementNeed need;
  need.service_ = aJob.queue_.service_;
  need.needs_ = aStep.needs_;
  need.estimate_ = aStep.estimate_;
  need.stretch_ = aJob.queue_.stretch_;
  need.allowance_ = aJob.queue_.allowance_ - waited;
  need.timeLeft_ = std::chrono::duration_cast<gpMillis>(aJob.deadline_ - aNow);
  return need;
}

#include "gpJobEndings.h"

#include <string>
#include <utility>

#include "gpAdmissionPolicy.h"
#include "gpEntryAttachments.h"
#include "gpEntryClaims.h"
#include "gpEntryDispatch.h"
#include "gpJobFailure.h"
#include "gpJobTable.h"

namespace {

std::string
DescribeAnswer(const gpAnswer& aAnswer)
{
  const auto* failure = std::get_if<gpFailure>(&aAnswer);
  if (failure == nullptr) {
    return "complete";
  }
  return std::string(gpOutcomeName(failure->outcome_)) + " " +
         std::string(gpFailureName(failure->code_));
}

bool
IsNotRun(const gpAnswer& aAnswer)
{
  const auto* failure = std::get_if<gpFailure>(&aAnswer);
  return failure != nullptr && failure->outcome_ == gpOutcome::NotRun;
}

std::vector<gpTaskIndex>
AllTasks(const gpJob& aJob)
{
  std::vector<gpTaskIndex> tasks;
  for (std::uint32_t index = 0; index < aJob.tasks_.size(); ++index) {
    tasks.emplace_back(index);
  }
  return tasks;
}

} // namespace

gpJobEndings::gpJobEndings(gpJobTable& aJobs,
                           gpEntryClaims& aClaims,
                           gpEntryAttachments& aAttachments,
                           gpEntryDispatch& aDispatch,
                           gpAdmissionPolicy& aAdmission)
  : jobs_(aJobs)
  , claims_(aClaims)
  , attachments_(aAttachments)
  , dispatch_(aDispatch)
  , admission_(aAdmission)
{
}

void
gpJobEndings::Fail(gpJob& aJob,
                   gpFailureCode aCode,
                   gpTime aNow,
                   gpEffects& aOut)
{
  gpFailure failure;
  failure.code_ = aCode;
  failure.mayHaveRun_ = gpMayHaveRun(aJob);
  const bool notRun = failure.mayHaveRun_.empty();
  failure.outcome_ = notRun ? gpOutcome::NotRun : gpOutcome::Failed;
  if (notRun) {
    failure.retryAfter_ = kRetryAfter;
  }
  dispatch_.Abandon(aJob, aOut);
  End(aJob, std::move(failure), aNow, aOut);
}

void
gpJobEndings::Complete(gpJob& aJob, gpTime aNow, gpEffects& aOut)
{
  gpComplete complete;
  complete.results_.reserve(aJob.tasks_.size());
  for (gpTask& task : aJob.tasks_) {
    complete.results_.push_back(std::move(task.result_));
  }
  End(aJob, std::move(complete), aNow, aOut);
}

void
gpJobEndings::EndPastDeadline(gpJob& aJob, gpTime aNow, gpEffects& aOut)
{
  if (aJob.phase_ == gpJobPhase::Running) {
    Fail(aJob, gpFailureCode::DeadlineExceeded, aNow, aOut);
    return;
  }
  const gpFailureCode code = gpIsLookup(aJob) ? gpFailureCode::ClaimUnreachable
                                              : gpFailureCode::DeadlineExceeded;
  const gpFailure failure = gpMakeFailure(code, gpOutcome::NotRun, kRetryAfter);
  End(aJob, gpUnconfirmed(failure), aNow, aOut);
}

void
gpJobEndings::End(gpJob& aJob, gpAnswer aAnswer, gpTime aNow, gpEffects& aOut)
{
  if (auto* failure = std::get_if<gpFailure>(&aAnswer)) {
    const bool isLost = failure->code_ == gpFailureCode::ClaimLost;
    if (isLost && failure->mayHaveRun_.empty()) {
      failure->mayHaveRun_ = AllTasks(aJob);
      // A lookup doesn't know the tasks of the job, so it can't list them.
      failure->outcome_ =
        gpIsLookup(aJob) ? gpOutcome::Unknown : failure->outcome_;
    }
  }
  const bool isClaimant =
    aJob.phase_ == gpJobPhase::Running && aJob.submission_.key_.has_value();
  if (aJob.admitted_) {
    admission_.Release(aJob.submission_.team_, aJob.tasks_.size());
  }
  claims_.Abandon(aJob.id_, aNow, aOut);
  attachments_.Abandon(aJob.id_, aOut);
  for (const gpRequestId request : jobs_.TakeRequests(aJob)) {
    aOut.Add(gpAnswerCaller{ request, aAnswer });
  }
  gpTimelineEvent event = gpJobEvent(gpEventKind::JobAnswered, aJob);
  event.detail_ = DescribeAnswer(aAnswer);
  aOut.Write(std::move(event));
  if (!isClaimant) {
    AnswerAttachedEntries(aJob, std::nullopt, aOut);
    jobs_.Erase(aJob.id_);
    return;
  }
  if (IsNotRun(aAnswer)) {
    claims_.Withdraw(aJob, aNow, aOut);
    AnswerAttachedEntries(aJob, std::nullopt, aOut);
    jobs_.Erase(aJob.id_);
    return;
  }
  AnswerAttachedEntries(aJob, aAnswer, aOut);
  aJob.answer_ = std::move(aAnswer);
  claims_.SendOutcome(aJob, aOut);
  jobs_.End(aJob, aNow + RetentionOf(aJob.submission_.service_));
}

void
gpJobEndings::AnswerAttachedEntries(gpJob& aJob,
                                    const std::optional<gpAnswer>& aAnswer,
                                    gpEffects& aOut)
{
  for (const gpAttachedEntry& attached :
       std::exchange(aJob.attachedEntries_, {})) {
    aOut.Send(attached.link_, gpAttachReply{ attached.claim_, aAnswer });
  }
}

gpMillis
gpJobEndings::RetentionOf(const gpServiceName& aService) const
{
  const gpServiceConfig* service = admission_.FindService(aService);
  return service == nullptr ? gpClaimSettings{}.retention_
                            : service->claims_.retention_;
}

#include "gpEntryJobs.h"

#include <algorithm>
#include <utility>

#include "gpJobFailure.h"

namespace {

/// Limit on the times that a job claims its key again after another claimant
/// has withdrawn.
constexpr std::uint32_t kMaxClaimRounds = 5;

gpJob
MakeJob(const gpJobSubmitted& aEvent, gpTime aNow)
{
  gpJob job;
  job.submission_ = aEvent.submission_;
  job.tasks_.resize(job.submission_.tasks_.size());
  job.open_ = job.tasks_.size();
  job.receivedAt_ = aNow;
  job.deadlineAt_ = aNow + job.submission_.deadline_;
  job.requests_.push_back(aEvent.request_);
  return job;
}

} // namespace

gpEntryJobs::gpEntryJobs(gpJobTable& aJobs,
                         gpGuardDirectory& aGuards,
                         gpEntryClaims& aClaims,
                         gpEntryAttachments& aAttachments,
                         gpEntryDispatch& aDispatch)
  : jobs_(aJobs)
  , guards_(aGuards)
  , claims_(aClaims)
  , attachments_(aAttachments)
  , dispatch_(aDispatch)
  , endings_(aJobs, aClaims, aAttachments, aDispatch, admission_)
{
}

void
gpEntryJobs::SetConfiguration(const gpConfiguration& aConfiguration)
{
  admission_.SetConfiguration(aConfiguration);
}

void
gpEntryJobs::OnSubmitted(const gpJobSubmitted& aEvent,
                         gpTime aNow,
                         gpEffects& aOut)
{
  if (AttachToKnownJob(aEvent, aNow, aOut)) {
    return;
  }
  gpJob job = MakeJob(aEvent, aNow);
  if (job.submission_.deadline_ == gpMillis(0)) {
    job.submission_.deadline_ = DefaultDeadline(job.submission_.service_);
    job.deadlineAt_ = aNow + job.submission_.deadline_;
  }
  const gpServiceName& service = job.submission_.service_;
  if (closed_) {
    const gpFailure failure = gpMakeFailure(
      gpFailureCode::ShuttingDown, gpOutcome::NotRun, kRetryAfter);
    Refuse(std::move(job), failure, aNow, aOut);
    return;
  }
  const std::optional<gpFailure> refusal =
    admission_.Check(job.submission_, dispatch_.CountWaiting(service), guards_);
  if (refusal.has_value()) {
    Refuse(std::move(job), *refusal, aNow, aOut);
    return;
  }
  admission_.Reserve(job.submission_);
  job.admitted_ = true;
  const bool keyed = job.submission_.key_.has_value();
  gpJob& added = jobs_.Add(std::move(job), keyed);
  aOut.Write(gpJobEvent(gpEventKind::JobAdmitted, added));
  if (keyed) {
    added.phase_ = gpJobPhase::Claiming;
    claims_.Begin(added, gpClaimRound::Kind::Claim, aNow, aOut);
  } else {
    Run(added, aNow, aOut);
  }
}

void
gpEntryJobs::OnQueried(const gpJobQueried& aEvent, gpTime aNow, gpEffects& aOut)
{
  gpJob* known = jobs_.FindByKey(aEvent.key_);
  if (known != nullptr && known->answer_.has_value()) {
    aOut.Add(gpAnswerCaller{ aEvent.request_, *known->answer_ });
    return;
  }
  if (known != nullptr) {
    jobs_.AddRequest(*known, aEvent.request_);
    queryTimeouts_.emplace(aNow + aEvent.wait_, aEvent.request_);
    return;
  }
  gpJobSubmitted lookup;
  lookup.request_ = aEvent.request_;
  lookup.submission_.service_ = aEvent.key_.service_;
  lookup.submission_.key_ = aEvent.key_.key_;
  lookup.submission_.deadline_ = aEvent.wait_;
  Refuse(MakeJob(lookup, aNow),
         gpMakeFailure(gpFailureCode::NotFound, gpOutcome::Unknown),
         aNow,
         aOut);
}

void
gpEntryJobs::OnCallerDisconnected(gpRequestId aRequest,
                                  gpTime aNow,
                                  gpEffects& aOut)
{
  gpJob* job = jobs_.FindByRequest(aRequest);
  if (job == nullptr) {
    return;
  }
  jobs_.RemoveRequest(aRequest);
  aOut.Write(gpJobEvent(gpEventKind::CallerGone, *job));
  // A caller that submitted a key can reconnect and get the answer, so the job
  // continues.
  const bool isWanted = job->submission_.key_.has_value() && !gpIsLookup(*job);
  if (isWanted || !job->requests_.empty()) {
    return;
  }
  if (job->phase_ == gpJobPhase::Running) {
    endings_.Fail(*job, gpFailureCode::Cancelled, aNow, aOut);
  } else {
    endings_.End(*job,
                 gpMakeFailure(gpFailureCode::Cancelled, gpOutcome::Unknown),
                 aNow,
                 aOut);
  }
}

void
gpEntryJobs::OnAttachRequest(gpLinkId aLink,
                             const gpAttachRequest& aRequest,
                             gpTime aNow,
                             gpEffects& aOut)
{
  gpJob* job = jobs_.Find(aRequest.job_);
  gpAttachReply reply;
  reply.job_ = aRequest.job_;
  if (job != nullptr && job->answer_.has_value()) {
    reply.answer_ = job->answer_;
    aOut.Send(aLink, std::move(reply));
    return;
  }
  const bool mayWin = job != nullptr && (job->phase_ == gpJobPhase::Running ||
                                         job->phase_ == gpJobPhase::Claiming);
  if (mayWin) {
    job->attachedEntries_.push_back({ aLink, aRequest.job_ });
    aOut.Write(gpJobEvent(gpEventKind::JobAttached, *job));
    return;
  }
  if (job == nullptr && !claims_.IsWithdrawn(aRequest.job_)) {
    // The key was claimed by this entry, and the answer has been evicted since.
    reply.answer_ = gpMakeFailure(gpFailureCode::ClaimLost, gpOutcome::Failed);
  } else {
    claims_.WithdrawAgain(aRequest.key_, aRequest.job_, aNow, aOut);
  }
  aOut.Send(aLink, std::move(reply));
}

void
gpEntryJobs::OnClaimResult(const gpClaimResult& aResult,
                           gpTime aNow,
                           gpEffects& aOut)
{
  gpJob* job = jobs_.Find(aResult.job_);
  if (job == nullptr) {
    return;
  }
  if (aResult.kind_ != gpClaimRound::Kind::Claim) {
    OnQueryDone(*job, aResult, aNow, aOut);
  } else if (aResult.result_ == gpRoundResult::Won) {
    job->grants_ = aResult.grants_;
    Run(*job, aNow, aOut);
  } else if (job->refusal_.has_value() &&
             aResult.result_ == gpRoundResult::Unavailable) {
    endings_.End(*job, gpUnconfirmed(*job->refusal_), aNow, aOut);
  } else {
    OnClaimLost(*job, aResult, aNow, aOut);
  }
}

void
gpEntryJobs::OnAttachmentResult(const gpAttachmentResult& aResult,
                                gpTime aNow,
                                gpEffects& aOut)
{
  gpJob* job = jobs_.Find(aResult.job_);
  if (job == nullptr) {
    return;
  }
  switch (aResult.end_) {
    case gpAttachmentEnd::Answered:
      endings_.End(*job, *aResult.answer_, aNow, aOut);
      break;
    case gpAttachmentEnd::Withdrawn:
      ClaimAgain(*job, aNow, aOut);
      break;
    case gpAttachmentEnd::ClaimantEnded:
      // The claimant may have sent the answer to the replicas before its
      // process ended.
      job->phase_ = gpJobPhase::Claiming;
      job->claimantEnded_ = true;
      claims_.Begin(*job, gpClaimRound::Kind::FinalQuery, aNow, aOut);
      break;
    case gpAttachmentEnd::Unreachable:
      endings_.End(*job,
                   gpMakeFailure(gpFailureCode::ClaimUnreachable,
                                 gpOutcome::Unknown,
                                 kRetryAfter),
                   aNow,
                   aOut);
      break;
  }
}

void
gpEntryJobs::OnUpdate(const gpJobUpdate& aUpdate, gpTime aNow, gpEffects& aOut)
{
  gpJob* job = jobs_.Find(aUpdate.job_);
  if (job == nullptr || job->phase_ != gpJobPhase::Running) {
    return;
  }
  if (aUpdate.failure_.has_value()) {
    endings_.Fail(*job, *aUpdate.failure_, aNow, aOut);
  } else if (job->open_ == 0) {
    endings_.Complete(*job, aNow, aOut);
  }
}

void
gpEntryJobs::OnTime(gpTime aNow, gpEffects& aOut)
{
  for (const gpJobId& id : jobs_.TakePastDeadline(aNow)) {
    gpJob* job = jobs_.Find(id);
    if (job != nullptr) {
      endings_.EndPastDeadline(*job, aNow, aOut);
    }
  }
  ExpireQueries(aNow, aOut);
  jobs_.Evict(aNow);
}

void
gpEntryJobs::FailAll(gpTime aNow, gpEffects& aOut)
{
  for (const gpJobId& id : jobs_.ListOpen()) {
    gpJob& job = *jobs_.Find(id);
    if (job.phase_ == gpJobPhase::Running) {
      endings_.Fail(job, gpFailureCode::ShuttingDown, aNow, aOut);
    } else {
      endings_.EndPastDeadline(job, aNow, aOut);
    }
  }
}

gpTime
gpEntryJobs::GetNextTime() const
{
  const gpTime query =
    queryTimeouts_.empty() ? gpTime::max() : queryTimeouts_.begin()->first;
  return std::min(query, jobs_.GetNextDeadline());
}

bool
gpEntryJobs::AttachToKnownJob(const gpJobSubmitted& aEvent,
                              gpTime,
                              gpEffects& aOut)
{
  const gpSubmission& submission = aEvent.submission_;
  if (!submission.key_.has_value()) {
    return false;
  }
  gpJob* known = jobs_.FindByKey({ submission.service_, *submission.key_ });
  if (known == nullptr) {
    return false;
  }
  if (known->submission_.digest_ != submission.digest_) {
    aOut.Add(gpAnswerCaller{
      aEvent.request_,
      gpMakeFailure(gpFailureCode::KeyReused, gpOutcome::NotRun) });
  } else if (known->answer_.has_value()) {
    aOut.Add(gpAnswerCaller{ aEvent.request_, *known->answer_ });
  } else {
    jobs_.AddRequest(*known, aEvent.request_);
    aOut.Write(gpJobEvent(gpEventKind::JobAttached, *known));
  }
  return true;
}

void
gpEntryJobs::Refuse(gpJob aJob,
                    const gpFailure& aFailure,
                    gpTime aNow,
                    gpEffects& aOut)
{
  const bool keyed = aJob.submission_.key_.has_value();
  const bool isLookup = gpIsLookup(aJob);
  aJob.phase_ = gpJobPhase::Claiming;
  aJob.refusal_ = aFailure;
  gpJob& job = jobs_.Add(std::move(aJob), keyed && !isLookup);
  if (!keyed) {
    endings_.End(job, aFailure, aNow, aOut);
    return;
  }
  // A job with the key may have been started through another entry. The answer
  // 'not run' is certain only while this entry has the claim.
  claims_.Begin(job,
                isLookup ? gpClaimRound::Kind::Query
                         : gpClaimRound::Kind::Claim,
                aNow,
                aOut);
}

void
gpEntryJobs::Run(gpJob& aJob, gpTime aNow, gpEffects& aOut)
{
  aJob.phase_ = gpJobPhase::Running;
  if (aJob.refusal_.has_value()) {
    endings_.End(aJob, *aJob.refusal_, aNow, aOut);
    return;
  }
  dispatch_.Enqueue(aJob);
}

void
gpEntryJobs::AttachTo(gpJob& aJob,
                      const gpClaimant& aClaimant,
                      gpTime aNow,
                      gpEffects& aOut)
{
  aJob.phase_ = gpJobPhase::Attached;
  endings_.AnswerAttachedEntries(aJob, std::nullopt, aOut);
  aOut.Write(gpJobEvent(gpEventKind::JobAttached, aJob));
  attachments_.Begin(aJob, aClaimant, aNow, aOut);
}

void
gpEntryJobs::ClaimAgain(gpJob& aJob, gpTime aNow, gpEffects& aOut)
{
  // Several entries that claim a key at the same time can deny each other the
  // quorum again and again, so the number of rounds is limited.
  if (++aJob.claimRounds_ > kMaxClaimRounds) {
    endings_.End(aJob,
                 gpMakeFailure(gpFailureCode::ClaimUnavailable,
                               gpOutcome::Unknown,
                               kRetryAfter),
                 aNow,
                 aOut);
    return;
  }
  gpJob& job = jobs_.Renew(aJob);
  job.phase_ = gpJobPhase::Claiming;
  job.claimantEnded_ = false;
  claims_.Begin(job,
                gpIsLookup(job) ? gpClaimRound::Kind::Query
                                : gpClaimRound::Kind::Claim,
                aNow,
                aOut);
}

void
gpEntryJobs::OnClaimLost(gpJob& aJob,
                         const gpClaimResult& aResult,
                         gpTime aNow,
                         gpEffects& aOut)
{
  switch (aResult.result_) {
    case gpRoundResult::Held:
      AttachTo(aJob, *aResult.claimant_, aNow, aOut);
      break;
    case gpRoundResult::Answered:
      endings_.End(aJob, *aResult.answer_, aNow, aOut);
      break;
    case gpRoundResult::OtherBody:
      endings_.End(aJob,
                   gpMakeFailure(gpFailureCode::KeyReused, gpOutcome::NotRun),
                   aNow,
                   aOut);
      break;
    default:
      endings_.End(aJob,
                   gpUnconfirmed(gpMakeFailure(gpFailureCode::ClaimUnavailable,
                                               gpOutcome::NotRun,
                                               kRetryAfter)),
                   aNow,
                   aOut);
      break;
  }
}

void
gpEntryJobs::OnQueryDone(gpJob& aJob,
                         const gpClaimResult& aResult,
                         gpTime aNow,
                         gpEffects& aOut)
{
  switch (aResult.result_) {
    case gpRoundResult::Answered:
      endings_.End(aJob, *aResult.answer_, aNow, aOut);
      break;
    case gpRoundResult::Held:
      if (aJob.claimantEnded_) {
        endings_.End(aJob,
                     gpMakeFailure(gpFailureCode::ClaimLost, gpOutcome::Failed),
                     aNow,
                     aOut);
      } else {
        AttachTo(aJob, *aResult.claimant_, aNow, aOut);
      }
      break;
    case gpRoundResult::Won:
      if (gpIsLookup(aJob)) {
        endings_.End(aJob, *aJob.refusal_, aNow, aOut);
      } else {
        ClaimAgain(aJob, aNow, aOut);
      }
      break;
    default:
      endings_.End(aJob,
                   gpMakeFailure(gpFailureCode::ClaimUnavailable,
                                 gpOutcome::Unknown,
                                 kRetryAfter),
                   aNow,
                   aOut);
      break;
  }
}

void
gpEntryJobs::ExpireQueries(gpTime aNow, gpEffects& aOut)
{
  while (!queryTimeouts_.empty() && queryTimeouts_.begin()->first <= aNow) {
    const gpRequestId request = queryTimeouts_.begin()->second;
    queryTimeouts_.erase(queryTimeouts_.begin());
    if (jobs_.FindByRequest(request) != nullptr) {
      jobs_.RemoveRequest(request);
      aOut.Add(gpAnswerCaller{ request,
                               gpMakeFailure(gpFailureCode::ClaimUnreachable,
                                             gpOutcome::Unknown,
                                             kRetryAfter) });
    }
  }
}

gpMillis
gpEntryJobs::DefaultDeadline(const gpServiceName& aService) const
{
  const gpServiceConfig* service = admission_.FindService(aService);
  return service == nullptr ? gpLimits{}.defaultDeadline_
                            : service->limits_.defaultDeadline_;
}

#include "gpLoadRunner.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "gpError.h"
#include "gpEventLoop.h"
#include "gpLoadRequest.h"

namespace {

/// Added to a job's deadline for the timeout of its HTTP request.
constexpr gpMillis kAnswerMargin{ 5000 };
/// Delay before a job is submitted again if the answer has no retry_after_ms.
constexpr gpMillis kDefaultPause{ 100 };

gpHttpRequest
RequestOf(const gpLoadPlan& aPlan, const gpPlannedJob& aJob)
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = "/v1/jobs";
  request.headers_["content-type"] = "application/json";
  if (aJob.key_.has_value()) {
    request.headers_["idempotency-key"] = aJob.key_->value_;
  }
  request.body_ = gpLoadRequestBody(aPlan.experiment_, aJob);
  return request;
}

} // namespace

gpLoadRunner::gpLoadRunner(gpTimerService& aTimers,
                           gpHttpClient& aHttp,
                           const gpLoadPlan& aPlan,
                           gpLoadRunnerSettings aSettings)
  : timers_(aTimers)
  , http_(aHttp)
  , plan_(aPlan)
  , settings_(std::move(aSettings))
{
  records_.jobs_.resize(plan_.jobs_.size());
}

void
gpLoadRunner::Start(std::function<void()> aOnEnded)
{
  onEnded_ = std::move(aOnEnded);
  start_ = gpEventLoop::Now();
  const gpExperiment& experiment = plan_.experiment_;
  const gpMillis longest =
    experiment.duration_ + 2 * experiment.ScaledDeadline() + kAnswerMargin;
  timerIds_.insert(timers_.Subscribe(start_ + longest, [this] { Finish(); }));
  SendDue();
}

void
gpLoadRunner::Finish()
{
  if (hasEnded_) {
    return;
  }
  hasEnded_ = true;
  for (const gpCallId call : calls_) {
    http_.Cancel(call);
  }
  for (const gpTimerId timer : timerIds_) {
    timers_.Cancel(timer);
  }
  const gpTime now = gpEventLoop::Now();
  for (std::size_t job = 0; job < records_.jobs_.size(); ++job) {
    gpJobRecord& record = records_.jobs_[job];
    if (record.outcome_ == gpLoadOutcome::Pending) {
      record.outcome_ = record.attempts_ > 0 ? gpLoadOutcome::Unanswered
                                             : gpLoadOutcome::Unsent;
      record.response_ = std::max(gpMicros{ 0 }, now - ArrivalOf(job));
    }
  }
  onEnded_();
}

gpLoadProgress
gpLoadRunner::GetProgress() const
{
  gpLoadProgress progress = progress_;
  progress.arrived_ = next_;
  progress.inFlight_ = inFlight_;
  return progress;
}

void
gpLoadRunner::SendDue()
{
  const gpTime now = gpEventLoop::Now();
  while (next_ < plan_.jobs_.size() && ArrivalOf(next_) <= now) {
    const std::size_t job = next_++;
    records_.worstLag_ = std::max(records_.worstLag_, now - ArrivalOf(job));
    if (inFlight_ >= settings_.jobsInFlight_) {
      records_.jobs_[job].outcome_ = gpLoadOutcome::Unsent;
      ++progress_.others_;
      continue;
    }
    ++inFlight_;
    Submit(job, ArrivalOf(job));
  }
  if (next_ < plan_.jobs_.size()) {
    timers_.Subscribe(ArrivalOf(next_), [this] {
      if (!hasEnded_) {
        SendDue();
      }
    });
  } else if (inFlight_ == 0) {
    Finish();
  }
}

void
gpLoadRunner::Submit(std::size_t aJob, gpTime aDue)
{
  ++records_.jobs_[aJob].attempts_;
  Call({ aJob, aDue, nextEntry_, 0 });
  ++nextEntry_;
}

void
gpLoadRunner::Call(const Submission& aSubmission)
{
  const std::size_t entry = aSubmission.firstEntry_ + aSubmission.refused_;
  const auto call = std::make_shared<gpCallId>();
  *call = http_.Call(settings_.entries_[entry % settings_.entries_.size()],
                     RequestOf(plan_, plan_.jobs_[aSubmission.job_]),
                     plan_.experiment_.ScaledDeadline() + kAnswerMargin,
                     [this, call, aSubmission](const gpHttpReply& aReply) {
                       calls_.erase(*call);
                       OnReply(aSubmission, aReply);
                     });
  calls_.insert(*call);
}

void
gpLoadRunner::OnReply(const Submission& aSubmission, const gpHttpReply& aReply)
{
  if (aReply.response_.ok()) {
    OnAnswer(aSubmission, *aReply.response_);
    return;
  }
  const bool isRefused =
    gpErrorCodeOf(aReply.response_.status()) == gpErrorCode::ConnectRefused;
  if (isRefused && !aReply.sent_ &&
      aSubmission.refused_ + 1 < settings_.entries_.size()) {
    ++records_.redirects_;
    Submission submission = aSubmission;
    ++submission.refused_;
    Call(submission);
    return;
  }
  records_.jobs_[aSubmission.job_].code_ =
    gpErrorName(gpErrorCodeOf(aReply.response_.status()));
  if (!SubmitAgain(aSubmission.job_, kDefaultPause)) {
    End(aSubmission.job_, gpLoadOutcome::Transport);
  }
}

void
gpLoadRunner::OnAnswer(const Submission& aSubmission,
                       const gpHttpResponse& aResponse)
{
  const gpLoadAnswer answer = gpReadLoadAnswer(
    aResponse.status_, aResponse.body_, plan_.jobs_[aSubmission.job_]);
  gpJobRecord& record = records_.jobs_[aSubmission.job_];
  record.code_ = answer.code_;
  if (record.fault_ == gpAnswerFault::None) {
    record.fault_ = answer.fault_;
  }
  if (answer.outcome_ == gpLoadOutcome::NotRun) {
    OnRefused(aSubmission, answer);
    return;
  }
  const bool isUnknown = answer.outcome_ == gpLoadOutcome::Unknown;
  if (!isUnknown || !SubmitAgain(aSubmission.job_,
                                 answer.retryAfter_.value_or(kDefaultPause))) {
    End(aSubmission.job_, answer.outcome_);
  }
}

void
gpLoadRunner::OnRefused(const Submission& aSubmission,
                        const gpLoadAnswer& aAnswer)
{
  gpRefusalRecord refusal;
  refusal.job_ = aSubmission.job_;
  refusal.code_ = aAnswer.code_;
  refusal.latency_ = gpEventLoop::Now() - aSubmission.due_;
  refusal.hasRetryAfter_ = aAnswer.retryAfter_.has_value();
  records_.refusals_.push_back(refusal);
  if (!aAnswer.retryAfter_.has_value() ||
      !SubmitAgain(aSubmission.job_, *aAnswer.retryAfter_)) {
    End(aSubmission.job_, gpLoadOutcome::NotRun);
  }
}

bool
gpLoadRunner::SubmitAgain(std::size_t aJob, gpMillis aPause)
{
  const gpPlannedJob& job = plan_.jobs_[aJob];
  const gpTime due = gpEventLoop::Now() + aPause;
  const gpTime latest = ArrivalOf(aJob) + plan_.experiment_.ScaledDeadline();
  const bool isSafe = job.key_.has_value() || job.idempotent_;
  if (!isSafe || due >= latest ||
      records_.jobs_[aJob].attempts_ >= settings_.attempts_) {
    return false;
  }
  const auto timer = std::make_shared<gpTimerId>();
  *timer = timers_.Subscribe(due, [this, timer, aJob, due] {
    timerIds_.erase(*timer);
    Submit(aJob, due);
  });
  timerIds_.insert(*timer);
  return true;
}

void
gpLoadRunner::End(std::size_t aJob, gpLoadOutcome aOutcome)
{
  gpJobRecord& record = records_.jobs_[aJob];
  record.outcome_ = aOutcome;
  record.response_ = gpEventLoop::Now() - ArrivalOf(aJob);
  switch (aOutcome) {
    case gpLoadOutcome::Complete:
      ++progress_.complete_;
      break;
    case gpLoadOutcome::NotRun:
      ++progress_.refused_;
      break;
    default:
      ++progress_.others_;
  }
  --inFlight_;
  if (inFlight_ == 0 && next_ == plan_.jobs_.size()) {
    Finish();
  }
}

gpTime
gpLoadRunner::ArrivalOf(std::size_t aJob) const
{
  return start_ + plan_.jobs_[aJob].arrival_;
}

#include "gpSoakCallers.h"

#include <algorithm>
#include <map>
#include <utility>

#include "gpEventLoop.h"
#include "gpLeaseTimings.h"

namespace {

constexpr int kMaxTasks = 4;
constexpr gpMillis kShortestTask{ 10 };
constexpr std::uint64_t kLongestTaskMs = 400;
/// One in so many callers disconnects after a random time, if it has no answer
/// by then.
constexpr std::uint64_t kDisconnectOneIn = 15;
constexpr std::uint64_t kMaxTimeToDisconnectMs = 800;
/// Longest time until a request that arrives once more does so, and the number
/// of jobs whose requests may.
constexpr std::uint64_t kMaxRepeatMs = 3000;
constexpr std::size_t kMostCompleted = 50;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

gpSoakOutcome
OutcomeOf(const gpHttpReply& aReply)
{
  switch (gpStatusOf(aReply)) {
    case 0:
      return aReply.sent_ && aReply.response_.status().code() !=
                               absl::StatusCode::kDeadlineExceeded
               ? gpSoakOutcome::ConnectionLost
               : gpSoakOutcome::Unknown;
    case kOk:
      return gpBodyOf(aReply) == R"({"state":"completed"})"
               ? gpSoakOutcome::Completed
               : gpSoakOutcome::Failed;
    case kNotFound:
    case kTooMany:
    case kUnavailable:
      return gpSoakOutcome::NotRun;
    default:
      return gpSoakOutcome::Unknown;
  }
}

std::string
OutcomeName(gpSoakOutcome aOutcome)
{
  switch (aOutcome) {
    case gpSoakOutcome::Completed:
      return "completed";
    case gpSoakOutcome::Failed:
      return "failed";
    case gpSoakOutcome::NotRun:
      return "not run";
    case gpSoakOutcome::Unknown:
      return "unknown";
    case gpSoakOutcome::ConnectionLost:
      return "cut";
    case gpSoakOutcome::CallerDisconnected:
      return "left";
  }
  return "";
}

} // namespace

gpSoakCallers::gpSoakCallers(gpPlatformCluster& aCluster,
                             std::uint64_t aSeed,
                             gpMillis aPause)
  : cluster_(aCluster)
  , generator_(aSeed)
  , pause_(aPause)
  , nextAt_(gpEventLoop::Now())
{
}

gpSoakCallers::Job
gpSoakCallers::DrawJob()
{
  constexpr std::size_t kIdLength = 16;
  const std::string number = std::to_string(++jobs_);
  Job job;
  job.id_ = std::string(kIdLength - number.size(), 'a') + number;
  job.tasks_ = 1 + static_cast<int>(generator_() % kMaxTasks);
  job.runTime_ =
    kShortestTask +
    gpMillis(static_cast<std::int64_t>(generator_() % kLongestTaskMs));
  return job;
}

std::optional<std::size_t>
gpSoakCallers::DrawEntry(const std::function<bool(std::size_t)>& aAcceptsJobs)
{
  const std::size_t first = generator_() % cluster_.CountEntries();
  for (std::size_t step = 0; step < cluster_.CountEntries(); ++step) {
    const std::size_t entry = (first + step) % cluster_.CountEntries();
    if (aAcceptsJobs(entry)) {
      return entry;
    }
  }
  return std::nullopt;
}

void
gpSoakCallers::SubmitDue(const std::function<bool(std::size_t)>& aAcceptsJobs)
{
  const gpTime now = gpEventLoop::Now();
  const auto submit = [&](const Job& aJob) {
    if (const auto entry = DrawEntry(aAcceptsJobs)) {
      Submit(aJob, *entry, true);
    }
  };
  for (; nextAt_ <= now; nextAt_ += pause_) {
    submit(DrawJob());
  }
  const auto due =
    std::partition(retries_.begin(), retries_.end(), [&](const Retry& aRetry) {
      return aRetry.dueAt_ > now;
    });
  for (auto retry = due; retry != retries_.end(); ++retry) {
    submit(retry->job_);
  }
  retries_.erase(due, retries_.end());
}

void
gpSoakCallers::RepeatCompleted(std::size_t aCount)
{
  for (; aCount > 0 && !completed_.empty(); --aCount) {
    const auto delay = static_cast<std::int64_t>(generator_() % kMaxRepeatMs);
    retries_.push_back(
      { completed_.back(), gpEventLoop::Now() + gpMillis(delay) });
    completed_.pop_back();
  }
}

void
gpSoakCallers::SubmitTo(std::size_t aEntry)
{
  Submit(DrawJob(), aEntry, false);
}

void
gpSoakCallers::Submit(const Job& aJob, std::size_t aEntry, bool aMayDisconnect)
{
  Call call;
  call.job_ = aJob;
  call.submission_.job_ = aJob.id_;
  call.submission_.tasks_ = static_cast<std::size_t>(aJob.tasks_);
  call.submission_.entry_ = aEntry;
  call.submission_.sentAt_ = gpEventLoop::Now();
  call.call_ = cluster_.Submit(aEntry, aJob.id_, aJob.tasks_, aJob.runTime_);
  if (aMayDisconnect && generator_() % kDisconnectOneIn == 0) {
    call.disconnectsAt_ =
      call.submission_.sentAt_ + gpMillis(static_cast<std::int64_t>(
                                   generator_() % kMaxTimeToDisconnectMs));
  }
  calls_.push_back(std::move(call));
}

void
gpSoakCallers::Poll()
{
  const gpTime now = gpEventLoop::Now();
  std::vector<Call> waiting;
  for (Call& call : std::exchange(calls_, {})) {
    if (call.call_.reply_.wait_for(gpMillis(0)) == std::future_status::ready) {
      Finish(call, OutcomeOf(call.call_.reply_.get()));
    } else if (now >= call.disconnectsAt_) {
      call.call_.cancel_();
      Finish(call, gpSoakOutcome::CallerDisconnected);
    } else {
      waiting.push_back(std::move(call));
    }
  }
  calls_ = std::move(waiting);
}

void
gpSoakCallers::Finish(Call& aCall, gpSoakOutcome aOutcome)
{
  const gpTime now = gpEventLoop::Now();
  aCall.submission_.endedAt_ = now;
  aCall.submission_.outcome_ = aOutcome;
  submissions_.push_back(aCall.submission_);
  if (aOutcome == gpSoakOutcome::Completed) {
    completed_.push_back(aCall.job_);
    if (completed_.size() > kMostCompleted) {
      completed_.pop_front();
    }
  }
  if (aOutcome == gpSoakOutcome::ConnectionLost ||
      aOutcome == gpSoakOutcome::Unknown) {
    retries_.push_back({ aCall.job_, now + kShortestResend });
  }
}

bool
gpSoakCallers::IsServedBy(std::size_t aEntry, gpTime aSince) const
{
  return std::any_of(submissions_.begin(),
                     submissions_.end(),
                     [&](const gpSoakSubmission& aOne) {
                       return aOne.entry_ == aEntry && aOne.sentAt_ >= aSince &&
                              aOne.outcome_ == gpSoakOutcome::Completed;
                     });
}

std::string
gpSoakCallers::Summary() const
{
  std::map<std::string, int> counts;
  for (const gpSoakSubmission& submission : submissions_) {
    ++counts[OutcomeName(submission.outcome_)];
  }
  std::string text;
  for (const auto& [name, count] : counts) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
  }
  return text;
}

#include "gpJobTable.h"

#include <algorithm>

namespace {

/// Limit on the ended jobs that are kept. A resubmission of a job that was
/// evicted claims its key again, and the replicas still store the first claim.
constexpr std::size_t kMaxEnded = 20000;

} // namespace

gpJobTable::gpJobTable(gpIncarnation aSelf)
  : self_(aSelf)
{
}

gpJob&
gpJobTable::Add(gpJob aJob, bool aByKey)
{
  aJob.id_ = gpJobId{ self_, ++lastSequence_ };
  const gpJobId id = aJob.id_;
  gpJob& job = jobs_.emplace(id, std::move(aJob)).first->second;
  deadlines_.emplace(job.deadlineAt_, id);
  for (const gpRequestId request : job.requests_) {
    byRequest_.insert_or_assign(request, id);
  }
  if (aByKey) {
    byKey_.insert_or_assign(*gpKeyOf(job), id);
  }
  return job;
}

gpJob&
gpJobTable::Renew(gpJob& aJob)
{
  const auto key = gpKeyOf(aJob);
  const bool byKey = key.has_value() && FindByKey(*key) == &aJob;
  gpJob job = std::move(aJob);
  const gpJobId old = job.id_;
  deadlines_.erase({ job.deadlineAt_, old });
  jobs_.erase(old);
  return Add(std::move(job), byKey);
}

void
gpJobTable::Erase(const gpJobId& aJob)
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  gpJob& job = found->second;
  TakeRequests(job);
  const auto key = gpKeyOf(job);
  if (key.has_value() && FindByKey(*key) == &job) {
    byKey_.erase(*key);
  }
  deadlines_.erase({ job.deadlineAt_, aJob });
  jobs_.erase(found);
}

gpJob*
gpJobTable::Find(const gpJobId& aJob)
{
  const auto found = jobs_.find(aJob);
  return found == jobs_.end() ? nullptr : &found->second;
}

gpJob*
gpJobTable::FindByKey(const gpServiceKey& aKey)
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : Find(found->second);
}

gpJob*
gpJobTable::FindByRequest(gpRequestId aRequest)
{
  const auto found = byRequest_.find(aRequest);
  return found == byRequest_.end() ? nullptr : Find(found->second);
}

void
gpJobTable::AddRequest(gpJob& aJob, gpRequestId aRequest)
{
  aJob.requests_.push_back(aRequest);
  byRequest_.insert_or_assign(aRequest, aJob.id_);
}

void
gpJobTable::RemoveRequest(gpRequestId aRequest)
{
  gpJob* job = FindByRequest(aRequest);
  if (job != nullptr) {
    std::erase(job->requests_, aRequest);
  }
  byRequest_.erase(aRequest);
}

std::vector<gpRequestId>
gpJobTable::TakeRequests(gpJob& aJob)
{
  for (const gpRequestId request : aJob.requests_) {
    byRequest_.erase(request);
  }
  return std::exchange(aJob.requests_, {});
}

void
gpJobTable::End(gpJob& aJob, gpTime aKeepUntil)
{
  aJob.phase_ = gpJobPhase::Ended;
  deadlines_.erase({ aJob.deadlineAt_, aJob.id_ });
  ended_.push_back({ aKeepUntil, aJob.id_ });
  // An ended job needs only its answer, so the bodies are freed.
  aJob.tasks_ = {};
  aJob.submission_.tasks_ = {};
}

std::vector<gpJobId>
gpJobTable::TakePastDeadline(gpTime aNow)
{
  std::vector<gpJobId> pastDeadline;
  while (!deadlines_.empty() && deadlines_.begin()->first <= aNow) {
    pastDeadline.push_back(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
  }
  return pastDeadline;
}

gpTime
gpJobTable::GetNextDeadline() const
{
  return deadlines_.empty() ? gpTime::max() : deadlines_.begin()->first;
}

void
gpJobTable::Evict(gpTime aNow)
{
  while (!ended_.empty() &&
         (ended_.front().until_ <= aNow || ended_.size() > kMaxEnded)) {
    Erase(ended_.front().job_);
    ended_.pop_front();
  }
}

std::vector<gpJobId>
gpJobTable::ListOpen() const
{
  std::vector<gpJobId> jobs;
  jobs.reserve(deadlines_.size());
  for (const auto& [deadline, job] : deadlines_) {
    jobs.push_back(job);
  }
  return jobs;
}

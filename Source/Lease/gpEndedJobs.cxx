#include "gpEndedJobs.h"

#include "gpLeaseTimings.h"

namespace {

bool
IsOld(gpTime aEndedAt, gpTime aNow)
{
  return aNow - aEndedAt >= kLatestRepeat;
}

} // namespace

bool
gpEndedJobs::Add(const gpEndedJob& aJob, gpTime aNow)
{
  DropOld(aNow);
  const gpTime endedAt = aNow - aJob.age_;
  if (IsOld(endedAt, aNow)) {
    return false;
  }
  const auto [found, isNew] = endedAt_.try_emplace(aJob.id_, endedAt);
  if (!isNew && !IsOld(found->second, aNow)) {
    return false;
  }
  if (!isNew) {
    // It's too old, but stands behind a younger one.
    found->second = endedAt;
    return true;
  }
  order_.push_back(&found->first);
  if (order_.size() > kMostJobs) {
    DropFirst();
  }
  return true;
}

bool
gpEndedJobs::Contains(const std::string& aId, gpTime aNow) const
{
  const auto found = endedAt_.find(aId);
  return found != endedAt_.end() && !IsOld(found->second, aNow);
}

void
gpEndedJobs::DropOld(gpTime aNow)
{
  while (!order_.empty() && IsOld(endedAt_.at(*order_.front()), aNow)) {
    DropFirst();
  }
}

void
gpEndedJobs::DropFirst()
{
  endedAt_.erase(endedAt_.find(*order_.front()));
  order_.pop_front();
}

std::vector<gpEndedJob>
gpEndedJobs::List(gpTime aNow) const
{
  std::vector<gpEndedJob> jobs;
  jobs.reserve(order_.size());
  for (const std::string* id : order_) {
    const gpTime endedAt = endedAt_.at(*id);
    if (!IsOld(endedAt, aNow)) {
      jobs.push_back({ *id, std::chrono::ceil<gpMillis>(aNow - endedAt) });
    }
  }
  return jobs;
}

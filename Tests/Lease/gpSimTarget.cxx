#include "gpSimTarget.h"

#include <algorithm>
#include <utility>

namespace {

constexpr std::uint64_t kLongestLeaseMs = 1000;

} // namespace

gpSimTarget::gpSimTarget(std::string aId,
                         std::uint64_t aStartTime,
                         double aRate,
                         gpTime aNow)
  : id_(std::move(aId))
  , startTime_(aStartTime)
  , rate_(aRate)
  , startedAt_(aNow)
{
}

std::uint64_t
gpSimTarget::GetClock(gpTime aNow) const
{
  const auto passed =
    std::chrono::duration<double, std::milli>(aNow - startedAt_);
  return 1 + static_cast<std::uint64_t>(passed.count() * rate_);
}

gpTime
gpSimTarget::GetLeaseExpiry() const
{
  const std::chrono::duration<double, std::milli> left(
    static_cast<double>(leaseEnd_) / rate_);
  return startedAt_ + std::chrono::duration_cast<gpMicros>(left);
}

void
gpSimTarget::Advance(gpTime aNow)
{
  const bool hasExpired = GetClock(aNow) > leaseEnd_;
  const gpTime expiry = std::min(GetLeaseExpiry(), aNow);
  const gpTime until = hasExpired ? expiry : aNow;
  std::vector<gpSimRun> over;
  for (const auto& [id, run] : running_) {
    if (!run.hangs_ && run.endsAt_ <= until) {
      over.push_back(run);
    }
  }
  for (const gpSimRun& run : over) {
    End(run.run_, run.fails_ ? gpRunEnd::Failed : gpRunEnd::Done, run.endsAt_);
  }
  while (hasExpired && !running_.empty()) {
    End(running_.begin()->first, gpRunEnd::Stopped, expiry);
  }
}

void
gpSimTarget::End(const gpRunId& aRun, gpRunEnd aEnd, gpTime aAt)
{
  newEnds_.push_back({ aRun, aEnd, aAt });
  ends_.push_back({ ++lastEnd_, aRun, aEnd });
  std::uint64_t& highest = highest_[aRun.task_];
  highest = std::max(highest, aRun.number_);
  running_.erase(aRun);
}

bool
gpSimTarget::Accept(std::uint64_t aFence)
{
  if (aFence < fence_) {
    return false;
  }
  fence_ = aFence;
  return true;
}

void
gpSimTarget::Extend(std::uint64_t aLeaseEnd, gpTime aNow)
{
  leaseEnd_ =
    std::max(leaseEnd_, std::min(aLeaseEnd, GetClock(aNow) + kLongestLeaseMs));
}

gpOrderReply
gpSimTarget::Start(const gpStartRun& aOrder, const gpSimRun& aRun, gpTime aNow)
{
  Advance(aNow);
  if (!Accept(aOrder.fence_)) {
    return gpOrderReply::Fence;
  }
  if (running_.contains(aOrder.run_)) {
    return gpOrderReply::Accepted;
  }
  if (aOrder.leaseEnd_ <= GetClock(aNow)) {
    return gpOrderReply::Late;
  }
  Extend(aOrder.leaseEnd_, aNow);
  const auto highest = highest_.find(aOrder.run_.task_);
  if (highest != highest_.end() && aOrder.run_.number_ <= highest->second) {
    return gpOrderReply::Outdated;
  }
  running_.emplace(aOrder.run_, aRun);
  return gpOrderReply::Accepted;
}

gpOrderReply
gpSimTarget::Stop(const gpStopRun& aOrder, gpTime aNow)
{
  Advance(aNow);
  if (!Accept(aOrder.fence_)) {
    return gpOrderReply::Fence;
  }
  if (running_.contains(aOrder.run_)) {
    End(aOrder.run_, gpRunEnd::Stopped, aNow);
  }
  std::uint64_t& highest = highest_[aOrder.run_.task_];
  highest = std::max(highest, aOrder.run_.number_);
  return gpOrderReply::Accepted;
}

gpPollReplied
gpSimTarget::Poll(const gpPollTarget& aPoll, gpTime aNow)
{
  Advance(aNow);
  gpPollReplied seen;
  seen.clock_ = GetClock(aNow);
  if (aPoll.target_ != id_) {
    seen.reply_ = gpOrderReply::OtherTarget;
    return seen;
  }
  seen.startTime_ = startTime_;
  if (!Accept(aPoll.fence_)) {
    seen.reply_ = gpOrderReply::Fence;
    return seen;
  }
  seen.reply_ = gpOrderReply::Accepted;
  if (aPoll.leaseEnd_.has_value()) {
    Extend(*aPoll.leaseEnd_, aNow);
  }
  std::erase_if(ends_, [&](const gpEndedRun& aEnd) {
    return aEnd.position_ <= aPoll.seenEnds_;
  });
  for (const auto& [id, run] : running_) {
    seen.running_.push_back(id);
  }
  seen.ended_ = ends_;
  return seen;
}

#include "gpRunOrders.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace {

/// Increase of the run number, in ms, after a target has seen a higher one.
constexpr std::uint64_t kSkippedMs = 60000;

} // namespace

std::uint64_t
gpRunOrders::NextNumber(gpTime aNow)
{
  if (startedAt_ == gpTime{}) {
    startedAt_ = aNow;
  }
  const auto elapsed =
    std::chrono::duration_cast<gpMillis>(aNow - startedAt_).count();
  last_ = std::max(last_ + 1, static_cast<std::uint64_t>(elapsed));
  return first_ + last_;
}

void
gpRunOrders::SkipAhead()
{
  last_ += kSkippedMs;
}

void
gpRunOrders::Add(gpLinkId aLink,
                 const gpLeaseRecord& aJob,
                 std::uint32_t aStep,
                 const gpRunId& aRun)
{
  const gpLeaseJob& job = aJob.job_;
  gpRunOrder& order = orders_[Key{ aLink, job.id_, aStep }];
  order.queue_ = aJob.queue_.name_;
  order.capacityEnforced_ = aJob.queue_.targetsEnforceCapacity_;
  order.spec_ = job.spec_;
  order.needs_ = job.steps_[aStep].needs_;
  order.estimate_ = job.steps_[aStep].estimate_;
  order.runs_.push_back(aRun);
}

void
gpRunOrders::Flush(gpLeaseEffects& aOut)
{
  for (auto& [key, order] : std::exchange(orders_, {})) {
    aOut.Send(std::get<gpLinkId>(key), std::move(order));
  }
}

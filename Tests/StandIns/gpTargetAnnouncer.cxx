#include "gpTargetAnnouncer.h"

#include <utility>

#include "gpEventLoop.h"

namespace {

constexpr gpMillis kPeriod(1000);
/// Long, because the guard responds only after the target's tasks have ended.
constexpr gpMillis kLeaveTimeout(60000);

gpHttpRequest
AnnounceRequest(const std::string& aMethod, const std::string& aBody)
{
  gpHttpRequest request;
  request.method_ = aMethod;
  request.target_ = "/v1/announce";
  request.body_ = aBody;
  return request;
}

} // namespace

gpTargetAnnouncer::gpTargetAnnouncer(gpTimerService& aTimers,
                                     gpHttpClient& aClient,
                                     gpAddress aGuard,
                                     std::string aBody)
  : timers_(aTimers)
  , client_(aClient)
  , guard_(std::move(aGuard))
  , body_(std::move(aBody))
{
}

void
gpTargetAnnouncer::Announce()
{
  client_.Call(
    guard_, AnnounceRequest("POST", body_), kPeriod, [](const gpHttpReply&) {});
  next_ =
    timers_.Subscribe(gpEventLoop::Now() + kPeriod, [this] { Announce(); });
}

void
gpTargetAnnouncer::Leave(std::function<void()> aLeft)
{
  timers_.Cancel(next_);
  client_.Call(guard_,
               AnnounceRequest("DELETE", ""),
               kLeaveTimeout,
               [left = std::move(aLeft)](const gpHttpReply&) { left(); });
}

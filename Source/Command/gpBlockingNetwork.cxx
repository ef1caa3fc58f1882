#include "gpBlockingNetwork.h"

namespace {

constexpr std::size_t kConnectionsPerAddress = 1;

} // namespace

gpBlockingNetwork::gpBlockingNetwork()
  : timers_(loop_)
  , http_(loop_, kConnectionsPerAddress)
{
}

gpHttpReply
gpBlockingNetwork::Call(const gpServerRequest& aRequest, gpMillis aTimeout)
{
  return CallAll({ aRequest }, aTimeout).front();
}

std::vector<gpHttpReply>
gpBlockingNetwork::CallAll(const std::vector<gpServerRequest>& aRequests,
                           gpMillis aTimeout)
{
  using Replies = std::vector<gpHttpReply>;
  return Await<Replies>([&](const std::function<void(Replies)>& aDone) {
    const auto replies = std::make_shared<Replies>(aRequests.size());
    const auto pending = std::make_shared<std::size_t>(aRequests.size());
    for (std::size_t i = 0; i < aRequests.size(); ++i) {
      const gpServerRequest& request = aRequests[i];
      http_.Call(request.server_,
                 request.request_,
                 aTimeout,
                 [replies, pending, i, aDone](gpHttpReply aReply) {
                   (*replies)[i] = std::move(aReply);
                   if (--*pending == 0) {
                     aDone(std::move(*replies));
                   }
                 });
    }
  });
}

void
gpBlockingNetwork::Pause(gpMillis aTime)
{
  Await<bool>([&](const std::function<void(bool)>& aDone) {
    timers_.Subscribe(gpEventLoop::Now() + aTime, [aDone] { aDone(true); });
  });
}

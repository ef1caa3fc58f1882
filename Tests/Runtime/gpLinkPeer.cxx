#include "gpLinkPeer.h"

gpLinkPeer::gpLinkPeer(gpEventLoop& aLoop,
                       std::uint64_t aIncarnation,
                       gpLinkSettings aSettings)
  : loop_(aLoop)
  , timers_(aLoop)
  , self_{ gpRole::Guard,
           "peer-" + std::to_string(aIncarnation),
           gpIncarnation(aIncarnation),
           gpAddress("127.0.0.1:9") }
  , service_(aLoop,
             timers_,
             clock_,
             aSettings,
             gpLinkService::Handlers{
               [this](gpLinkId aLink,
                      const gpPeer& aPeer,
                      std::optional<gpAddress> aDialed) {
                 ups_.push_back({ aLink, aPeer, std::move(aDialed) });
               },
               [this](gpLinkId aLink, gpErrorCode aCode) {
                 downs_.push_back({ aLink, aCode });
               },
               [this](gpLinkId aLink, gpMessage aMessage) {
                 messages_.emplace_back(aLink, std::move(aMessage));
               },
               [this](const gpAddress& aAddress, gpErrorCode aCode) {
                 dialFailures_.emplace_back(aAddress, aCode);
               } })
{
  service_.SetSelf(self_);
}

gpAddress
gpLinkPeer::Listen()
{
  return service_.Listen(gpAddress("127.0.0.1:0")).value();
}

gpMessage
gpNumberedMessage(std::uint32_t aNumber)
{
  return gpSlotReport{ aNumber, 0, false };
}

std::uint32_t
gpMessageNumber(const gpMessage& aMessage)
{
  return std::get<gpSlotReport>(aMessage).slots_;
}

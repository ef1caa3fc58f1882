#include "gpServerLimits.h"

#include <algorithm>

#include <sys/resource.h>

namespace {

/// Requests for status and metrics have no body.
constexpr std::size_t kStatusBodyBytes = 4U << 10U;
constexpr std::size_t kStatusMemoryBytes = 2U << 20U;
/// Descriptors that are left for links, for the calls of this process to
/// others, and for files.
constexpr std::size_t kDescriptorParts = 2;

std::size_t
DescriptorLimit(const gpClientLimits& aLimits)
{
  if (aLimits.descriptors_ > 0) {
    return aLimits.descriptors_;
  }
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : RLIM_INFINITY;
}

} // namespace

gpHttpLimits
gpMakeClientPortLimits(const gpClientLimits& aLimits)
{
  const std::size_t most =
    std::max<std::size_t>(DescriptorLimit(aLimits) / kDescriptorParts, 1);
  gpHttpLimits limits;
  limits.bodyBytes_ = aLimits.bodyBytes_;
  limits.connections_ = std::min(aLimits.connections_, most);
  limits.memoryBytes_ = aLimits.memoryBytes_;
  return limits;
}

gpHttpLimits
gpMakeStatusPortLimits(const gpClientLimits& aLimits)
{
  gpHttpLimits limits;
  limits.bodyBytes_ = kStatusBodyBytes;
  limits.connections_ = aLimits.statusConnections_;
  limits.memoryBytes_ = kStatusMemoryBytes;
  return limits;
}

void
gpSetLinkLimits(const gpClientLimits& aLimits, gpLinkSettings& aSettings)
{
  aSettings.frameBytes_ = aLimits.frameBytes_;
  aSettings.memoryBytes_ = aLimits.linkMemoryBytes_;
  aSettings.sendBytes_ = aLimits.linkMemoryBytes_;
  aSettings.handshakes_ = aLimits.handshakes_;
  aSettings.acceptedLinks_ = aLimits.links_;
}

const char*
gpLimitName(gpHttpLimitKind aLimit)
{
  return aLimit == gpHttpLimitKind::Memory ? "memory" : "connections";
}

const char*
gpLimitName(gpLinkLimitKind aLimit)
{
  switch (aLimit) {
    case gpLinkLimitKind::Handshakes:
      return "handshakes";
    case gpLinkLimitKind::AcceptedLinks:
      return "links";
    case gpLinkLimitKind::Memory:
      break;
  }
  return "memory";
}

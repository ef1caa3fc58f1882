#include "gpClientLimitsReader.h"

#include "gpJsonReader.h"

namespace {

constexpr gpNumberRange kConnections = { 1, 1000000 };
constexpr double kMostDescriptors = 1e9;
constexpr gpNumberRange kBytes = { 1024, 1U << 30U };
/// What a request takes besides its body: its header and the bytes that have
/// just been read.
constexpr std::size_t kHeaderRoom = 32U << 10U;

} // namespace

void
gpReadClientLimits(gpJsonObject& aObject, gpClientLimits& aLimits)
{
  double descriptors = 0;
  aObject.Decimal("descriptors", descriptors, kMostDescriptors);
  aLimits.descriptors_ = static_cast<std::size_t>(descriptors);
  aObject.Number("connections", aLimits.connections_, kConnections);
  aObject.Number("body_bytes", aLimits.bodyBytes_, kBytes);
  aObject.Number("memory_bytes", aLimits.memoryBytes_, kBytes);
  aObject.Number(
    "status_connections", aLimits.statusConnections_, kConnections);
  aObject.Number("handshakes", aLimits.handshakes_, kConnections);
  aObject.Number("links", aLimits.links_, kConnections);
  aObject.Number("frame_bytes", aLimits.frameBytes_, kBytes);
  aObject.Number("link_memory_bytes", aLimits.linkMemoryBytes_, kBytes);
  if (aLimits.memoryBytes_ < aLimits.bodyBytes_ + kHeaderRoom) {
    aObject.AddError("memory_bytes", "at least body_bytes and 32768 more");
  }
  if (aLimits.linkMemoryBytes_ < 2 * aLimits.frameBytes_) {
    aObject.AddError("link_memory_bytes", "at least twice frame_bytes");
  }
}

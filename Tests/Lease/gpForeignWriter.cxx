#include "gpForeignWriter.h"

#include <algorithm>

std::optional<gpForeignWriter::Call>
gpForeignWriter::MakeCall(std::size_t aGuard, std::uint64_t aNowMs)
{
  constexpr std::size_t kKinds = 6;
  constexpr std::size_t kEnd = 4;
  const std::size_t kind = random_.Draw(kKinds);
  if (kind == kEnd) {
    return gpTargetEnded{ heartbeats_[aGuard].id_ };
  }
  gpTargetAnnouncement foreign = MakeHeartbeat(kind, aGuard, aNowMs);
  if (foreign.id_.empty()) {
    return std::nullopt;
  }
  return gpHeartbeatReceived{ std::move(foreign) };
}

gpTargetAnnouncement
gpForeignWriter::MakeHeartbeat(std::size_t aKind,
                               std::size_t aGuard,
                               std::uint64_t aNowMs)
{
  constexpr std::uint64_t kLifeMs = 700;
  gpTargetAnnouncement foreign = heartbeats_[aGuard];
  switch (aKind) {
    case 0: // of a target that doesn't exist
      foreign.id_ = "i-foreign";
      foreign.startTime_ = aNowMs;
      break;
    case 1: // of a later incarnation
      foreign.startTime_ += 1 + random_.Draw(1000);
      break;
    case 2: // of an earlier incarnation
      foreign.startTime_ -= std::min(foreign.startTime_, kLifeMs);
      foreign.id_ += random_.Chance(500) ? "-0" : "";
      break;
    case 3: // of the target of another guard
      foreign = heartbeats_[random_.Draw(heartbeats_.size())];
      break;
    default: // of the same incarnation, with a sequence number that is ahead
      foreign.sequence_ += 100;
      break;
  }
  return foreign;
}

gpTargetRecord
gpForeignWriter::MakeRecord()
{
  constexpr std::uint64_t kLargeMilliCores = 40000;
  gpTargetRecord foreign;
  foreign.target_ = heartbeats_[random_.Draw(heartbeats_.size())];
  foreign.target_.capacity_ = { kLargeMilliCores, 1024, 0 };
  foreign.target_.sequence_ += random_.Chance(500) ? 100 : 0;
  foreign.capacityEnforced_ = random_.Chance(500);
  return foreign;
}

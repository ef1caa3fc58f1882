#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "gpHistoryRandom.h"
#include "gpLeaseEvent.h"

/** \class gpForeignWriter
 * \brief Makes well-formed heartbeats and records that no target or guard of a
 * history has written, from the last heartbeat of each target.
 */
class gpForeignWriter
{
public:
  using Call = std::variant<gpHeartbeatReceived, gpTargetEnded>;

  gpForeignWriter(gpHistoryRandom& aRandom, std::size_t aGuards)
    : random_(aRandom)
    , heartbeats_(aGuards)
  {
  }

  /// The target of the guard has sent a heartbeat.
  void NoteHeartbeat(std::size_t aGuard, const gpTargetAnnouncement& aTarget)
  {
    heartbeats_[aGuard] = aTarget;
  }
  /// A call to the guard of a target; not set if the target that was drawn has
  /// sent no heartbeat yet. aNowMs is the time of day.
  std::optional<Call> MakeCall(std::size_t aGuard, std::uint64_t aNowMs);
  /// A record of any target, with another capacity.
  gpTargetRecord MakeRecord();

private:
  /// A heartbeat that differs from the last one of the guard's target.
  gpTargetAnnouncement MakeHeartbeat(std::size_t aKind,
                                     std::size_t aGuard,
                                     std::uint64_t aNowMs);

  gpHistoryRandom& random_;
  /// The last heartbeat of each target, also of an incarnation that has ended.
  std::vector<gpTargetAnnouncement> heartbeats_;
};

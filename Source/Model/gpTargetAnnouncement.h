#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"

/** \class gpTargetAnnouncement
 * \brief The contents of a target's heartbeat.
 */
struct gpTargetAnnouncement
{
  std::string id_;
  /// Start time of the target's incarnation. A higher value is a newer
  /// incarnation, also under the same ID.
  std::uint64_t startTime_ = 0;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t sequence_ = 0;
  gpServiceName service_;
  bool draining_ = false;
  gpResources capacity_;
  std::vector<std::string> labels_;

  bool operator==(const gpTargetAnnouncement&) const = default;
};

/** \class gpTargetRecord
 * \brief What a guard stores about its target for its next process.
 */
struct gpTargetRecord
{
  /// The last announcement.
  gpTargetAnnouncement target_;
  /// Whether the target refuses what doesn't fit. If not, it's given no work
  /// before its next heartbeat, as its capacity may have shrunk meanwhile.
  bool capacityEnforced_ = false;

  bool operator==(const gpTargetRecord&) const = default;
};

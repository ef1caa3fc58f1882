#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gpIds.h"
#include "gpResources.h"

/// Largest amount of one resource that a target may announce. It's far above
/// any machine, and below the limit of the messages to entries, which close a
/// link over a larger amount.
constexpr std::uint64_t kMaxTargetResource = 1000000000;
/// Longest ID of a target in bytes.
constexpr std::size_t kMaxTargetIdBytes = 255;

/// Whether a text may be the ID of a target. The ID is sent in a header, which
/// must not be split, and stored as JSON, which must stay valid.
inline bool
gpIsTargetId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxTargetIdBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '/' &&
                  aCharacter != '?';
         });
}

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

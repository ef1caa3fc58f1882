#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "gpIds.h"

/// What a process does in the system.
enum class gpRole
{
  Entry,
  Guard,
  Command,
};

/// The name of a role in logs, such as "entry".
std::string_view
gpRoleName(gpRole aRole);

/** \class gpMember
 * \brief One guard with the target beside it, as the roster records it.
 */
struct gpMember
{
  /// Incarnation of the guard; a guard that restarted is another member.
  gpIncarnation guard_;
  /// Where the guard listens for links.
  gpAddress address_;
  gpServiceName service_;
  gpRegionName region_;
  gpDataCentreName dataCentre_;
  gpRackName rack_;
  /// Tasks that the target runs at once, at least 1.
  std::uint32_t slots_ = 1;

  bool operator==(const gpMember&) const = default;
};

/** \class gpRoster
 * \brief The guards that are members, as of one epoch.
 */
struct gpRoster
{
  gpRosterEpoch epoch_;
  std::map<gpIncarnation, gpMember> members_;
  /// Services that have had two members at once at any time. Claims could be
  /// granted since then, so a new holder must copy them.
  std::map<gpServiceName, bool> formed_;

  bool operator==(const gpRoster&) const = default;
};

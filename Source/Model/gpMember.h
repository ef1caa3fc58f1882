#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "gpIds.h"

/// The kind of a process.
enum class gpRole
{
  Entry,   ///< accepts jobs of callers and sends their tasks to guards
  Guard,   ///< runs beside a target and starts tasks there
  Command, ///< an operator's command line tool
};

/// The name of a role in logs, such as "entry".
std::string_view
gpRoleName(gpRole aRole);

/** \class gpMember
 * \brief One guard with the target beside it, as recorded in the roster.
 */
struct gpMember
{
  /// Incarnation of the guard; a guard that restarted is another member.
  gpIncarnation guard_;
  /// Address at which the guard accepts links.
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
 * \brief The guards that are members at one epoch. All processes read it from
 * the log, so that they agree on which guards store which claims.
 */
struct gpRoster
{
  gpRosterEpoch epoch_;
  std::map<gpIncarnation, gpMember> members_;
  /// Services that have had two members at the same time at least once. From
  /// then on claims may have been granted, so a new replica must copy them.
  /// Each of these services is mapped to true.
  std::map<gpServiceName, bool> claimableServices_;

  bool operator==(const gpRoster&) const = default;
};

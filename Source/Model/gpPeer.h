#pragma once

#include <cstdint>
#include <string>

#include "gpIds.h"
#include "gpMember.h"

/** \class gpPeer
 * \brief The process at the other end of a link, as it described itself in the
 * handshake.
 */
struct gpPeer
{
  gpRole role_ = gpRole::Entry;
  /// Name from the peer's settings.
  std::string name_;
  gpIncarnation incarnation_;
  /// Address at which the peer accepts links.
  gpAddress address_;

  bool operator==(const gpPeer&) const = default;
};

#pragma once

#include <cstdint>
#include <string>

#include "gpIds.h"
#include "gpMember.h"

/** \class gpPeer
 * \brief Who is at the other end of a link, as its handshake said.
 */
struct gpPeer
{
  gpRole role_ = gpRole::Entry;
  /// Name from the peer's settings.
  std::string name_;
  gpIncarnation incarnation_;
  /// Where the peer listens for links.
  gpAddress address_;

  bool operator==(const gpPeer&) const = default;
};

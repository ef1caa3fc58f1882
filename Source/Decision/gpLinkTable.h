#pragma once

#include <map>
#include <optional>

#include "gpIds.h"
#include "gpPeer.h"

/** \class gpLinkTable
 * \brief The open links, by number and by the incarnation of the peer.
 */
class gpLinkTable
{
public:
  void Open(gpLinkId aLink, const gpPeer& aPeer)
  {
    peers_.insert_or_assign(aLink, aPeer);
    byIncarnation_.insert_or_assign(aPeer.incarnation_, aLink);
  }

  /// Removes a link. Returns its peer, if the link was known.
  std::optional<gpPeer> Close(gpLinkId aLink)
  {
    const auto found = peers_.find(aLink);
    if (found == peers_.end()) {
      return std::nullopt;
    }
    const gpPeer peer = found->second;
    peers_.erase(found);
    // The peer may have a newer link already, which must stay.
    const auto current = byIncarnation_.find(peer.incarnation_);
    if (current != byIncarnation_.end() && current->second == aLink) {
      byIncarnation_.erase(current);
    }
    return peer;
  }

  const gpPeer* FindPeer(gpLinkId aLink) const
  {
    const auto found = peers_.find(aLink);
    return found == peers_.end() ? nullptr : &found->second;
  }

  std::optional<gpLinkId> FindLink(gpIncarnation aPeer) const
  {
    const auto found = byIncarnation_.find(aPeer);
    if (found == byIncarnation_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  const std::map<gpLinkId, gpPeer>& GetPeers() const { return peers_; }

private:
  std::map<gpLinkId, gpPeer> peers_;
  std::map<gpIncarnation, gpLinkId> byIncarnation_;
};

#pragma once

#include <map>
#include <set>
#include <vector>

#include "gpLeaseEvent.h"

/** \class gpEntryFinder
 * \brief Keeps links to all entries that are known, and passes on who they are.
 *
 * Addresses come from the settings, from the store and from peers. One that
 * can't be reached for a time is forgotten until somebody names it again.
 */
class gpEntryFinder
{
public:
  /// aSelf is not dialed; empty for a guard.
  explicit gpEntryFinder(gpAddress aSelf)
    : self_(std::move(aSelf))
  {
  }

  /// Addresses that stay for good, such as those of the settings.
  void Keep(const std::vector<gpAddress>& aEntries,
            gpTime aNow,
            gpLeaseEffects& aOut);
  /// Addresses that a peer named.
  void Hear(const std::vector<gpAddress>& aEntries,
            gpTime aNow,
            gpLeaseEffects& aOut);
  void OnLinked(const gpAddress& aEntry, gpLinkId aLink, gpTime aNow);
  void OnLost(gpLinkId aLink, gpTime aNow);
  void OnDialFailed(const gpAddress& aEntry, gpTime aNow, gpLeaseEffects& aOut);

  /// The entries that are linked now, and this one.
  gpEntryAddresses MakeNews() const;
  /// Links to entries that this side dialed.
  const std::map<gpLinkId, gpAddress>& GetLinks() const { return links_; }
  /// True once after the linked entries have changed.
  bool TakeChanged() { return std::exchange(changed_, false); }

private:
  void Watch(const gpAddress& aEntry, gpTime aNow, gpLeaseEffects& aOut);

  gpAddress self_;
  std::set<gpAddress> kept_;
  /// Watched addresses with the time when each was last named or linked.
  std::map<gpAddress, gpTime> watched_;
  std::map<gpLinkId, gpAddress> links_;
  bool changed_ = false;
};

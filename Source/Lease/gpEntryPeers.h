#pragma once

#include <map>
#include <set>
#include <vector>

#include "gpEntryFinder.h"
#include "gpPeer.h"

/** \class gpEntryPeers
 * \brief An entry's links with some of the other entries, over which they tell
 * each other, and all guards, which entries there are.
 */
class gpEntryPeers
{
public:
  /// aSelf is this entry; it dials aLinks others.
  gpEntryPeers(const gpKnownEntry& aSelf, std::size_t aLinks)
    : finder_({ aSelf, aSelf.address_.value_, aLinks })
  {
  }

  void Keep(const std::vector<gpAddress>& aEntries) { finder_.Keep(aEntries); }
  void Hear(const gpEntryNews& aNews) { finder_.Hear(aNews.entries_); }
  /// A link with another entry is open; the address is set if it was dialed.
  void OnLinked(const gpLinkOpened& aEvent);
  void OnLost(gpLinkId aLink, gpTime aNow);
  void OnDialFailed(const gpAddress& aEntry, gpTime aNow)
  {
    finder_.OnDialFailed(aEntry, aNow);
  }
  /// What a process is told whose link has just opened.
  gpEntryNews MakeNews(gpTime aNow) const { return finder_.MakeNews(aNow); }
  /// Keeps the links up, and tells them and the guards what was heard of.
  void Update(const std::map<gpLinkId, gpIncarnation>& aGuards,
              gpTime aNow,
              gpLeaseEffects& aOut);
  /// Links that this entry dialed.
  std::size_t CountDialed() const { return finder_.GetLinks().size(); }

private:
  gpEntryFinder finder_;
  /// Links that other entries dialed.
  std::set<gpLinkId> accepted_;
};

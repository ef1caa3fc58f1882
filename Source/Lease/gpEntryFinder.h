#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gpEntryDirectory.h"
#include "gpLeaseEvent.h"

/** \class gpEntryFinderOptions
 * \brief Who looks for entries, and how many of them it needs.
 */
struct gpEntryFinderOptions
{
  /// This process, if it is an entry; it isn't dialed.
  gpKnownEntry self_;
  /// Decides with its order of the entries; unlike that of other processes.
  std::string name_;
  /// Links to keep up.
  std::size_t links_ = 8;
};

/** \class gpEntryFinder
 * \brief Keeps a process linked with a bounded number of the known entries.
 *
 * Pattern: deterministic subsetting. The process links with the first entries
 * of its own order. While one of these can't be reached, the next one takes its
 * place. A link that is no longer wanted is surplus once enough others are up;
 * it's closed by Release when nothing hangs on it.
 */
class gpEntryFinder
{
public:
  explicit gpEntryFinder(gpEntryFinderOptions aOptions);

  /// The entries of the settings.
  void Keep(const std::vector<gpAddress>& aEntries);
  /// Entries that were found elsewhere.
  void Hear(const std::vector<gpKnownEntry>& aEntries);
  void OnLinked(const gpAddress& aEntry, gpLinkId aLink);
  void OnLost(gpLinkId aLink, gpTime aNow);
  void OnDialFailed(const gpAddress& aEntry, gpTime aNow);
  /// Watches the entries that are wanted now. To be called after each event;
  /// does little as long as nothing has changed.
  void Update(gpTime aNow, gpLeaseEffects& aOut);

  /// Links that have been surplus for long enough to be closed.
  std::vector<gpLinkId> ListSurplus(gpTime aNow) const;
  /// Whether the link is surplus, and gets no more work.
  bool IsSurplus(gpLinkId aLink) const;
  /// Closes a link that is surplus; gpLinkLost doesn't follow.
  void Release(gpLinkId aLink, gpLeaseEffects& aOut);

  /// This entry and all that are known, but those long out of reach.
  gpEntryNews MakeNews(gpTime aNow) const;
  /// What was heard since the last call, for those that got MakeNews before;
  /// not set if there is nothing yet, or the last one was told just now.
  std::optional<gpEntryNews> TakeNews(gpTime aNow);
  /// Links to entries that this side dialed.
  const std::map<gpLinkId, gpAddress>& GetLinks() const { return links_; }

private:
  struct Dial
  {
    bool isWatched_ = false;
    std::optional<gpLinkId> link_;
    /// Since when it can't be reached.
    std::optional<gpTime> failingSince_;
    /// Since when its link is surplus.
    std::optional<gpTime> surplusSince_;
  };

  std::vector<gpAddress> ListWanted(gpTime aNow) const;
  bool IsFailingFor(const gpAddress& aEntry, gpMillis aTime, gpTime aNow) const;
  /// Whether the entry has been out of reach for long, and isn't tried now.
  bool IsResting(const gpAddress& aEntry, gpTime aNow) const;
  void DropUnwanted(const std::vector<gpAddress>& aWanted,
                    gpTime aNow,
                    gpLeaseEffects& aOut);
  /// Forgets entries that have not been reached for very long.
  void ForgetLost(gpTime aNow, gpLeaseEffects& aOut);

  gpEntryFinderOptions options_;
  gpEntryDirectory directory_;
  /// All known entries in the order of this process.
  std::vector<gpAddress> order_;
  std::map<gpAddress, Dial> dials_;
  std::map<gpLinkId, gpAddress> links_;
  bool isOrderStale_ = false;
  bool hasChanged_ = false;
  gpTime nextLook_;
  gpTime nextNews_;
};

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gpEntryDirectory.h"
#include "gpLeaseEvent.h"

/** \class gpEntryFinderOptions
 * \brief Identity of the process that links with entries, and the number of
 * links.
 */
struct gpEntryFinderOptions
{
  /// This process, if it is an entry; it's never dialed.
  gpKnownEntry self_;
  /// Seed of this process's order of the entries; differs between processes.
  std::string name_;
  /// Number of entries to be linked with.
  std::size_t links_ = 8;
};

/** \class gpEntryFinder
 * \brief Keeps a process linked with a bounded number of the known entries.
 *
 * Pattern: deterministic subsetting. The process ranks all known entries
 * (gpRankEntries) and links with the first ones. While one of these is
 * unreachable, the next one in the order is dialed as well. Once enough of the
 * wanted entries are linked, a link to any other entry is surplus: it gets no
 * more work, and its owner closes it with Release (a guard does so when the
 * runs of that entry have ended).
 */
class gpEntryFinder
{
public:
  explicit gpEntryFinder(gpEntryFinderOptions aOptions);

  /// Sets the entries of the settings.
  void SetConfigured(const std::vector<gpAddress>& aEntries);
  /// Adds entries that a peer or the platform's store has named.
  void Learn(const std::vector<gpKnownEntry>& aEntries);
  /// A link has opened with the entry of this incarnation. Returns the earlier
  /// link with it, which the entry has closed, if there was one under another
  /// address. The earlier address isn't dialed while the new link is open.
  std::optional<gpLinkId> OnLinked(const gpAddress& aEntry,
                                   gpLinkId aLink,
                                   gpIncarnation aIncarnation);
  void OnLost(gpLinkId aLink, gpTime aNow);
  void OnDialFailed(const gpAddress& aEntry, gpTime aNow);
  /// Recomputes the wanted entries and starts or stops dialing them. Call it
  /// after each event; it returns early if nothing has changed and the check
  /// period has not passed.
  void Update(gpTime aNow, gpLeaseEffects& aOut);

  /// Links that have been surplus for at least kSurplusTime and may be closed.
  std::vector<gpLinkId> ListSurplus(gpTime aNow) const;
  /// Whether the link is surplus, so that it must not be given new work.
  bool IsSurplus(gpLinkId aLink) const;
  /// Closes a surplus link. No gpLinkLost follows.
  void Release(gpLinkId aLink, gpLeaseEffects& aOut);

  /// The full list for a newly linked process: this entry and all known
  /// entries, except those unreachable for longer than kBackOffAfter.
  gpEntryUpdate MakeUpdate(gpTime aNow) const;
  /// The entries learned since the last call, to be sent to the processes that
  /// have received MakeUpdate before. Not set if there are none, or if the last
  /// update was sent less than kUpdatePeriod ago.
  std::optional<gpEntryUpdate> TakeUpdate(gpTime aNow);
  /// Open links that this process dialed.
  const std::map<gpLinkId, gpAddress>& GetLinks() const { return links_; }

private:
  struct Dial
  {
    bool isWatched_ = false;
    std::optional<gpLinkId> link_;
    /// The incarnation of the entry that was linked last.
    gpIncarnation incarnation_;
    /// The link that replaced this one's, with the same entry.
    std::optional<gpLinkId> replacedBy_;
    /// Since when the entry has been unreachable; not set while it's linked.
    std::optional<gpTime> failingSince_;
    /// Since when its link has been surplus; not set while it's wanted.
    std::optional<gpTime> surplusSince_;
  };

  std::vector<gpAddress> ListWanted(gpTime aNow) const;
  bool IsFailingFor(const gpAddress& aEntry, gpMillis aTime, gpTime aNow) const;
  /// Whether the entry is linked under another address.
  bool IsDuplicate(const gpAddress& aEntry) const;
  /// Removes the link with this incarnation, if any, as it's replaced by aLink
  /// under the address aEntry. Returns the removed link.
  std::optional<gpLinkId> ReplaceLink(gpIncarnation aIncarnation,
                                      const gpAddress& aEntry,
                                      gpLinkId aLink);
  /// Whether the entry has been unreachable for longer than kBackOffAfter and
  /// is between two retries, so that it isn't dialed now.
  bool IsBackingOff(const gpAddress& aEntry, gpTime aNow) const;
  void DropUnwanted(const std::vector<gpAddress>& aWanted,
                    gpTime aNow,
                    gpLeaseEffects& aOut);
  /// Forgets entries that have been unreachable for kForgetAfter.
  void ForgetUnreachable(gpTime aNow, gpLeaseEffects& aOut);

  gpEntryFinderOptions options_;
  gpEntryDirectory directory_;
  /// All known entries, ranked by gpRankEntries for this process.
  std::vector<gpAddress> order_;
  std::map<gpAddress, Dial> dials_;
  std::map<gpLinkId, gpAddress> links_;
  bool isOrderStale_ = false;
  bool hasChanged_ = false;
  gpTime nextCheck_;
  gpTime nextUpdate_;
};

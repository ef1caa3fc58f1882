#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gpEntryFinder.h"
#include "gpLeaseEvent.h"
#include "gpRunTable.h"

/** \class gpEntryLinks
 * \brief A guard's links to entries, and what was last sent on each of them
 * about the target.
 *
 * A link that became surplus (gpEntryFinder) gets no more work, and is closed
 * when no run of its entry is left.
 *
 * An entry receives a capacity report together with each run report. Entries
 * that get no run report receive the new free capacity only after a delay, so
 * that several changes are sent in one message.
 */
class gpEntryLinks
{
public:
  /// aName is the seed of the guard's choice of entries; aLinks is the number
  /// of entries to be linked with.
  gpEntryLinks(std::string aName, std::size_t aLinks)
    : finder_({ {}, std::move(aName), aLinks })
  {
  }

  gpEntryFinder& GetFinder() { return finder_; }
  /// Returns the earlier link with the same entry, if there was one under
  /// another address. It's removed: an entry uses the link that opened last.
  std::optional<gpLinkId> Open(gpLinkId aLink,
                               const gpAddress& aAddress,
                               gpIncarnation aEntry);
  /// Removes a closed link and returns its entry; not set if the link is
  /// unknown.
  std::optional<gpIncarnation> Close(gpLinkId aLink, gpTime aNow);
  std::vector<gpLinkId> CloseAll(gpTime aNow);
  /// Updates the choice of entries, and closes surplus links whose entries have
  /// no runs left.
  void Update(const gpRunTable& aRuns, gpTime aNow, gpLeaseEffects& aOut);
  bool Contains(gpLinkId aLink) const { return links_.contains(aLink); }
  gpIncarnation GetEntry(gpLinkId aLink) const;
  std::size_t Count() const { return links_.size(); }

  /// Counts a run that the entry ordered on the link.
  void NoteOrdered(gpLinkId aLink, gpTime aNow);
  /// Whether the link is surplus: it's to be closed and gets no more work.
  bool IsSurplus(gpLinkId aLink) const { return finder_.IsSurplus(aLink); }
  void Report(gpLinkId aLink, gpRunReport aReport, gpLeaseEffects& aOut);
  /// Sends a report to the entry, if it is still linked.
  void Report(gpIncarnation aEntry, gpRunReport aReport, gpLeaseEffects& aOut);
  /// Sends each entry the target update, if it differs from the last one sent
  /// to it. Sends the capacity report if the free capacity differs from the
  /// last one sent, and the report goes with another message or its delay has
  /// passed.
  void SendUpdates(const gpTargetUpdate& aUpdate,
                   const gpCapacityReport& aCapacity,
                   gpTime aNow,
                   gpLeaseEffects& aOut);
  /// When SendUpdates must be called again to send a delayed capacity report;
  /// the maximum if no report is pending.
  gpTime GetNextUpdateTime(const gpResources& aFree) const;

private:
  struct Link
  {
    gpIncarnation entry_;
    /// Runs that the entry ordered on this link.
    std::uint64_t runsSeen_ = 0;
    /// When the entry ordered a run last.
    gpTime orderedAt_;
    /// Whether a run report was sent since the last call of SendUpdates.
    bool sentReport_ = false;
    /// Whether the entry has received its first update.
    bool isNotified_ = false;
    /// Free capacity in the last capacity report, and the last target update.
    gpResources sentFree_;
    gpTargetUpdate sentUpdate_;
  };

  /// Number of entries that share the target: the entry of aLink, and all
  /// others that ordered a run within kSharingTime.
  std::uint32_t CountSharingEntries(gpLinkId aLink, gpTime aNow) const;

  gpEntryFinder finder_;
  std::map<gpLinkId, Link> links_;
  gpTime nextUpdateAt_;
};

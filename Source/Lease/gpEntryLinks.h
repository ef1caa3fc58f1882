#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gpLeaseEvent.h"

/** \class gpEntryLinks
 * \brief A guard's links to entries, and what each entry was told of the
 * target.
 *
 * An entry learns of free room with each other message that it gets; the rest
 * hear of it after a short time, so that changes are told together.
 */
class gpEntryLinks
{
public:
  void Open(gpLinkId aLink, gpIncarnation aEntry);
  /// The entry of the closed link, if the link was known.
  std::optional<gpIncarnation> Close(gpLinkId aLink);
  std::vector<gpLinkId> CloseAll();
  bool Contains(gpLinkId aLink) const { return links_.contains(aLink); }
  gpIncarnation GetEntry(gpLinkId aLink) const;
  std::size_t Count() const { return links_.size(); }

  /// A run was ordered on the link.
  void NoteOrdered(gpLinkId aLink, gpTime aNow);
  /// The link is to be closed: its entry is told that it gets no more work.
  void SetSurplus(gpLinkId aLink, bool aIsSurplus);
  bool IsSurplus(gpLinkId aLink) const { return links_.at(aLink).isSurplus_; }
  /// Sends a report on the link.
  void Report(gpLinkId aLink, gpRunReport aReport, gpLeaseEffects& aOut);
  /// Sends a report to the entry, if it's linked.
  void Report(gpIncarnation aEntry, gpRunReport aReport, gpLeaseEffects& aOut);
  /// Tells the entries what they don't know yet.
  void Tell(const gpTargetNews& aNews,
            const gpRoomReport& aRoom,
            gpTime aNow,
            gpLeaseEffects& aOut);
  /// When Tell is to be called again; max if nothing is left to be told.
  gpTime GetTellTime(const gpResources& aFree) const;

private:
  struct Link
  {
    gpIncarnation entry_;
    std::uint64_t runsSeen_ = 0;
    gpTime orderedAt_;
    bool isSurplus_ = false;
    bool sentNow_ = false;
    bool told_ = false;
    gpResources toldFree_;
    gpTargetNews toldNews_;
  };

  /// Entries that share the target with the one of the link, and that one.
  std::uint32_t CountSharers(gpLinkId aLink, gpTime aNow) const;

  std::map<gpLinkId, Link> links_;
  gpTime nextTellAt_;
};

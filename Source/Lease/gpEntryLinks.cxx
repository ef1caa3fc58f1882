#include "gpEntryLinks.h"

#include <algorithm>
#include <utility>

namespace {

/// Delay of capacity reports to entries that get no run report, for each linked
/// entry. The delay grows with the number of entries, so that the rate of
/// reports which one entry receives from all guards doesn't.
constexpr gpMillis kReportDelayPerEntry{ 4 };
/// An entry that ordered no run for so long isn't counted among the entries
/// that share the target.
constexpr gpMillis kSharingTime{ 1000 };

} // namespace

std::optional<gpLinkId>
gpEntryLinks::Open(gpLinkId aLink,
                   const gpAddress& aAddress,
                   gpIncarnation aEntry)
{
  const auto earlier = finder_.OnLinked(aAddress, aLink, aEntry);
  if (earlier.has_value()) {
    links_.erase(*earlier);
  }
  links_[aLink].entry_ = aEntry;
  return earlier;
}

std::optional<gpIncarnation>
gpEntryLinks::Close(gpLinkId aLink, gpTime aNow)
{
  finder_.OnLost(aLink, aNow);
  const auto found = links_.find(aLink);
  if (found == links_.end()) {
    return std::nullopt;
  }
  const gpIncarnation entry = found->second.entry_;
  links_.erase(found);
  return entry;
}

std::vector<gpLinkId>
gpEntryLinks::CloseAll(gpTime aNow)
{
  std::vector<gpLinkId> closed;
  for (const auto& [id, link] : std::exchange(links_, {})) {
    finder_.OnLost(id, aNow);
    closed.push_back(id);
  }
  return closed;
}

gpIncarnation
gpEntryLinks::GetEntry(gpLinkId aLink) const
{
  return links_.at(aLink).entry_;
}

void
gpEntryLinks::NoteOrdered(gpLinkId aLink, gpTime aNow)
{
  Link& link = links_.at(aLink);
  ++link.runsSeen_;
  link.orderedAt_ = aNow;
}

void
gpEntryLinks::Update(const gpRunTable& aRuns, gpTime aNow, gpLeaseEffects& aOut)
{
  finder_.Update(aNow, aOut);
  for (const gpLinkId link : finder_.ListSurplus(aNow)) {
    const auto found = links_.find(link);
    if (found != links_.end() &&
        aRuns.ListRunsOf(found->second.entry_).empty()) {
      links_.erase(found);
      finder_.Release(link, aOut);
    }
  }
}

std::uint32_t
gpEntryLinks::CountSharingEntries(gpLinkId aLink, gpTime aNow) const
{
  const auto others =
    std::count_if(links_.begin(), links_.end(), [&](const auto& aEntry) {
      return aEntry.first != aLink &&
             aNow - aEntry.second.orderedAt_ < kSharingTime;
    });
  return static_cast<std::uint32_t>(others) + 1;
}

void
gpEntryLinks::Report(gpLinkId aLink, gpRunReport aReport, gpLeaseEffects& aOut)
{
  links_.at(aLink).sentReport_ = true;
  aOut.Send(aLink, std::move(aReport));
}

void
gpEntryLinks::Report(gpIncarnation aEntry,
                     gpRunReport aReport,
                     gpLeaseEffects& aOut)
{
  for (const auto& [id, link] : links_) {
    if (link.entry_ == aEntry) {
      Report(id, std::move(aReport), aOut);
      return;
    }
  }
}

void
gpEntryLinks::SendUpdates(const gpTargetUpdate& aUpdate,
                          const gpCapacityReport& aCapacity,
                          gpTime aNow,
                          gpLeaseEffects& aOut)
{
  const bool isTime = aNow >= nextUpdateAt_;
  for (auto& [id, link] : links_) {
    const bool isFirst = !std::exchange(link.isNotified_, true);
    gpTargetUpdate update = aUpdate;
    update.takesWork_ = update.takesWork_ && !finder_.IsSurplus(id);
    const bool isChanged = isFirst || update != link.sentUpdate_;
    if (isChanged) {
      link.sentUpdate_ = update;
      aOut.Send(id, std::move(update));
    }
    const bool maySend = std::exchange(link.sentReport_, false) || isTime;
    if (isChanged || (maySend && aCapacity.free_ != link.sentFree_)) {
      link.sentFree_ = aCapacity.free_;
      gpCapacityReport report = aCapacity;
      report.runsSeen_ = link.runsSeen_;
      report.sharingEntries_ = CountSharingEntries(id, aNow);
      aOut.Send(id, report);
    }
  }
  if (isTime) {
    const auto entries = static_cast<std::int64_t>(links_.size());
    nextUpdateAt_ = aNow + kReportDelayPerEntry * entries;
  }
}

gpTime
gpEntryLinks::GetNextUpdateTime(const gpResources& aFree) const
{
  for (const auto& [id, link] : links_) {
    if (aFree != link.sentFree_) {
      return nextUpdateAt_;
    }
  }
  return gpTime::max();
}

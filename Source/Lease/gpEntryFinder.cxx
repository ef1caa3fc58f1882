#include "gpEntryFinder.h"

namespace {

/// An entry that is restarted is back sooner than this.
constexpr gpMillis kForgetAfter{ 10000 };

} // namespace

void
gpEntryFinder::Keep(const std::vector<gpAddress>& aEntries,
                    gpTime aNow,
                    gpLeaseEffects& aOut)
{
  kept_.insert(aEntries.begin(), aEntries.end());
  Hear(aEntries, aNow, aOut);
}

void
gpEntryFinder::Hear(const std::vector<gpAddress>& aEntries,
                    gpTime aNow,
                    gpLeaseEffects& aOut)
{
  for (const gpAddress& entry : aEntries) {
    Watch(entry, aNow, aOut);
  }
}

void
gpEntryFinder::Watch(const gpAddress& aEntry, gpTime aNow, gpLeaseEffects& aOut)
{
  if (aEntry == self_ || aEntry.value_.empty()) {
    return;
  }
  if (watched_.insert_or_assign(aEntry, aNow).second) {
    aOut.Add(gpWatchAddress{ aEntry });
  }
}

void
gpEntryFinder::OnLinked(const gpAddress& aEntry, gpLinkId aLink, gpTime aNow)
{
  links_.insert_or_assign(aLink, aEntry);
  watched_.insert_or_assign(aEntry, aNow);
  changed_ = true;
}

void
gpEntryFinder::OnLost(gpLinkId aLink, gpTime aNow)
{
  const auto found = links_.find(aLink);
  if (found == links_.end()) {
    return;
  }
  watched_.insert_or_assign(found->second, aNow);
  links_.erase(found);
  changed_ = true;
}

void
gpEntryFinder::OnDialFailed(const gpAddress& aEntry,
                            gpTime aNow,
                            gpLeaseEffects& aOut)
{
  const auto found = watched_.find(aEntry);
  if (found == watched_.end() || kept_.contains(aEntry) ||
      aNow - found->second < kForgetAfter) {
    return;
  }
  watched_.erase(found);
  aOut.Add(gpUnwatchAddress{ aEntry });
}

gpEntryAddresses
gpEntryFinder::MakeNews() const
{
  gpEntryAddresses news;
  if (!self_.value_.empty()) {
    news.entries_.push_back(self_);
  }
  for (const auto& [link, entry] : links_) {
    news.entries_.push_back(entry);
  }
  return news;
}

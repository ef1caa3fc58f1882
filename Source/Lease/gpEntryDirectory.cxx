#include "gpEntryDirectory.h"

#include <utility>

void
gpEntryDirectory::SetConfigured(const std::vector<gpAddress>& aEntries)
{
  configured_ = std::set<gpAddress>(aEntries.begin(), aEntries.end());
  for (const gpAddress& entry : aEntries) {
    Learn(gpKnownEntry{ entry, {}, 0 });
  }
}

bool
gpEntryDirectory::Learn(const gpKnownEntry& aEntry)
{
  if (aEntry.address_ == self_ || aEntry.address_.value_.empty()) {
    return false;
  }
  const auto found = entries_.find(aEntry.address_);
  if (found == entries_.end()) {
    if (entries_.size() >= kMostEntries) {
      return false;
    }
    entries_.emplace(aEntry.address_, aEntry);
  } else {
    const bool hasDetails = !found->second.dataCentre_.value_.empty();
    if (hasDetails || aEntry.dataCentre_.value_.empty()) {
      return false;
    }
    found->second = aEntry;
  }
  changed_.insert(aEntry.address_);
  return true;
}

void
gpEntryDirectory::Forget(const gpAddress& aEntry)
{
  entries_.erase(aEntry);
  changed_.erase(aEntry);
}

std::vector<gpKnownEntry>
gpEntryDirectory::TakeChanged()
{
  std::vector<gpKnownEntry> list;
  for (const gpAddress& entry : std::exchange(changed_, {})) {
    list.push_back(entries_.at(entry));
  }
  return list;
}

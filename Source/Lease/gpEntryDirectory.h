#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "gpRunMessages.h"

/** \class gpEntryDirectory
 * \brief The known entries, learned from the settings, the platform's store and
 * other entries.
 *
 * Each new entry is forwarded once. Details of an entry (data centre,
 * processor) are stored as first received and not overwritten, so that peers
 * that disagree about them don't forward them back and forth without end.
 */
class gpEntryDirectory
{
public:
  /// Upper bound of known entries. Further ones are ignored whatever their
  /// source, so that a faulty peer can't make the process grow without bound.
  static constexpr std::size_t kMostEntries = 4096;

  /// aSelf is the address of this entry, which is never added; empty for a
  /// process that is no entry.
  explicit gpEntryDirectory(gpAddress aSelf)
    : self_(std::move(aSelf))
  {
  }

  /// Sets the entries of the settings, which are never forgotten.
  void SetConfigured(const std::vector<gpAddress>& aEntries);
  /// Adds an entry, or the missing details of a known one. Returns true if
  /// anything changed.
  bool Learn(const gpKnownEntry& aEntry);
  void Forget(const gpAddress& aEntry);
  bool IsConfigured(const gpAddress& aEntry) const
  {
    return configured_.contains(aEntry);
  }
  const std::map<gpAddress, gpKnownEntry>& GetAll() const { return entries_; }
  /// The entries that were added or completed since the last call.
  std::vector<gpKnownEntry> TakeChanged();

private:
  gpAddress self_;
  std::set<gpAddress> configured_;
  std::map<gpAddress, gpKnownEntry> entries_;
  std::set<gpAddress> changed_;
};

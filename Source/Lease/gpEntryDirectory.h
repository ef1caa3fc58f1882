#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "gpRunMessages.h"

/** \class gpEntryDirectory
 * \brief The entries that a process has heard of, from the settings, the store
 * and its peers.
 *
 * What is learned is passed on once. An entry's details stay as they were
 * learned first, so that peers that disagree don't pass them to and fro.
 */
class gpEntryDirectory
{
public:
  /// Entries beyond this number are ignored, whoever names them.
  static constexpr std::size_t kMostEntries = 4096;

  /// aSelf is not taken in; empty for a process that is no entry.
  explicit gpEntryDirectory(gpAddress aSelf)
    : self_(std::move(aSelf))
  {
  }

  /// The entries of the settings, which are never forgotten.
  void Keep(const std::vector<gpAddress>& aEntries);
  /// Takes in what is new. True if anything was.
  bool Learn(const gpKnownEntry& aEntry);
  void Forget(const gpAddress& aEntry);
  bool IsKept(const gpAddress& aEntry) const { return kept_.contains(aEntry); }
  const std::map<gpAddress, gpKnownEntry>& GetAll() const { return entries_; }
  /// What was learned since the last call.
  std::vector<gpKnownEntry> TakeNews();

private:
  gpAddress self_;
  std::set<gpAddress> kept_;
  std::map<gpAddress, gpKnownEntry> entries_;
  std::set<gpAddress> news_;
};

#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "gpHolderRanking.h"
#include "gpIds.h"
#include "gpMember.h"

/** \class gpHolderCache
 * \brief Caches the replicas of each partition for the current roster.
 *
 * Ranking the members of a service takes long if there are many, and the roster
 * seldom changes.
 */
class gpHolderCache
{
public:
  /// Sets the current roster and clears the cache.
  void SetRoster(const gpRoster& aRoster)
  {
    roster_ = aRoster;
    services_.clear();
  }
  const gpRoster& GetRoster() const { return roster_; }

  /// The replicas of the key, the highest-ranked first; see gpHoldersOf.
  const std::vector<gpIncarnation>& HoldersOf(const gpServiceKey& aKey)
  {
    const gpPartition partition = gpPartitionOf(aKey);
    Holders& holders = services_[aKey.service_].at(partition.value_);
    if (!holders.has_value()) {
      holders = gpHoldersOf(roster_, aKey.service_, partition);
    }
    return *holders;
  }

private:
  using Holders = std::optional<std::vector<gpIncarnation>>;

  gpRoster roster_;
  std::map<gpServiceName, std::array<Holders, kClaimPartitions>> services_;
};

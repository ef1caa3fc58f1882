#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "gpHolderRanking.h"
#include "gpIds.h"
#include "gpMember.h"

/** \class gpHolderCache
 * \brief Remembers the holders of each partition for one roster.
 *
 * Ranking all members of a service takes long where there are many; the roster
 * changes seldom.
 */
class gpHolderCache
{
public:
  /// Forgets what was ranked for the roster before.
  void SetRoster(const gpRoster& aRoster)
  {
    roster_ = aRoster;
    services_.clear();
  }
  const gpRoster& GetRoster() const { return roster_; }

  /// The holders of the key, first choice first; see gpHoldersOf.
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

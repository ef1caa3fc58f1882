#pragma once

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "gpIds.h"
#include "gpMember.h"
#include "gpReplicaRanking.h"

/** \class gpReplicaCache
 * \brief Caches the replicas of each partition for the current roster.
 *
 * Ranking the members of a service takes long if there are many, and the roster
 * seldom changes.
 */
class gpReplicaCache
{
public:
  /// Sets the current roster and clears the cache.
  void SetRoster(const gpRoster& aRoster)
  {
    roster_ = aRoster;
    services_.clear();
  }
  const gpRoster& GetRoster() const { return roster_; }

  /// The replicas of the key, the highest-ranked first; see gpReplicasOf.
  const std::vector<gpIncarnation>& ReplicasOf(const gpServiceKey& aKey)
  {
    const gpPartition partition = gpPartitionOf(aKey);
    Replicas& replicas = services_[aKey.service_].at(partition.value_);
    if (!replicas.has_value()) {
      replicas = gpReplicasOf(roster_, aKey.service_, partition);
    }
    return *replicas;
  }

private:
  using Replicas = std::optional<std::vector<gpIncarnation>>;

  gpRoster roster_;
  std::map<gpServiceName, std::array<Replicas, kClaimPartitions>> services_;
};

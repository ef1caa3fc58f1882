#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gpIds.h"
#include "gpMember.h"

/// Number of claim partitions of each service. All processes must use the same
/// number, because each computes the partition of a key by itself.
constexpr std::uint32_t kClaimPartitions = 32;
/// Number of replicas of each claim partition.
constexpr std::size_t kClaimReplicas = 3;
/// Number of grants that win a claim. Since every claim has this many grants,
/// any two complete replicas of a partition jointly know all its claims.
constexpr std::size_t kClaimQuorum = 2;

/// The partition of a key.
gpPartition
gpPartitionOf(const gpServiceKey& aKey);

/** \brief The replicas of a partition, the highest-ranked first.
 *
 * Uses rendezvous hashing over the members of the service. Each replica after
 * the first is the highest-ranked member in a data centre that has no replica
 * yet; if there is no such data centre, in a rack that has none yet; else of
 * all the others. Returns fewer than kClaimReplicas if the service has fewer
 * members.
 */
std::vector<gpIncarnation>
gpReplicasOf(const gpRoster& aRoster,
             const gpServiceName& aService,
             gpPartition aPartition);

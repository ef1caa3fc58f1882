#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gpIds.h"
#include "gpMember.h"

/// Claim partitions of each service. Part of the protocol between processes.
constexpr std::uint32_t kClaimPartitions = 32;
/// Holders of each claim partition.
constexpr std::size_t kClaimHolders = 3;
/// Grants that make a claim, and complete holders that jointly know all claims.
constexpr std::size_t kClaimQuorum = 2;

/// The partition of a key.
gpPartition
gpPartitionOf(const gpServiceKey& aKey);

/** \brief The holders of a partition, first choice first.
 *
 * Rendezvous hashing over the members of the service. Each holder after the
 * first is the highest-ranked one in a data centre that has none yet; if there
 * is no such data centre, in a rack that has none yet; else of all the others.
 * Fewer than kClaimHolders if the service has fewer members.
 */
std::vector<gpIncarnation>
gpHoldersOf(const gpRoster& aRoster,
            const gpServiceName& aService,
            gpPartition aPartition);

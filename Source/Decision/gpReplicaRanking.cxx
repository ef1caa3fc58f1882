#include "gpReplicaRanking.h"

#include <algorithm>
#include <set>

#include "gpDigest.h"

namespace {

struct RankedMember
{
  std::uint64_t score_;
  const gpMember* member_;
};

using RackId = std::pair<gpDataCentreName, gpRackName>;

std::vector<RankedMember>
RankMembers(const gpRoster& aRoster,
            const gpServiceName& aService,
            gpPartition aPartition)
{
  std::vector<RankedMember> ranked;
  for (const auto& [guard, member] : aRoster.members_) {
    if (member.service_ == aService) {
      const std::uint64_t seed =
        (guard.value_ * kClaimPartitions) + aPartition.value_;
      ranked.push_back({ gpStableHash(aService.value_, seed), &member });
    }
  }
  std::ranges::sort(ranked, [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.score_, aLeft.member_->guard_) >
           std::pair(aRight.score_, aRight.member_->guard_);
  });
  return ranked;
}

/** Records which data centres and racks have a replica already. */
class SpreadTracker
{
public:
  void Add(const gpMember& aMember)
  {
    dataCentres_.insert(aMember.dataCentre_);
    racks_.insert({ aMember.dataCentre_, aMember.rack_ });
  }
  /// How little the member improves the spread: 0 if it's in a new data centre,
  /// 1 if it's in a new rack, 2 if neither.
  int CostOf(const gpMember& aMember) const
  {
    if (!dataCentres_.contains(aMember.dataCentre_)) {
      return 0;
    }
    return racks_.contains({ aMember.dataCentre_, aMember.rack_ }) ? 2 : 1;
  }

private:
  std::set<gpDataCentreName> dataCentres_;
  std::set<RackId> racks_;
};

} // namespace

gpPartition
gpPartitionOf(const gpServiceKey& aKey)
{
  const std::uint64_t hash = gpStableHash(aKey.key_.value_, 0);
  return gpPartition(static_cast<std::uint32_t>(hash % kClaimPartitions));
}

std::vector<gpIncarnation>
gpReplicasOf(const gpRoster& aRoster,
             const gpServiceName& aService,
             gpPartition aPartition)
{
  std::vector<RankedMember> ranked = RankMembers(aRoster, aService, aPartition);
  std::vector<gpIncarnation> replicas;
  SpreadTracker spread;
  while (replicas.size() < kClaimReplicas && !ranked.empty()) {
    // Of members with equal cost, min_element returns the first, which is the
    // highest-ranked one.
    const auto best =
      std::ranges::min_element(ranked, {}, [&](const RankedMember& aMember) {
        return spread.CostOf(*aMember.member_);
      });
    spread.Add(*best->member_);
    replicas.push_back(best->member_->guard_);
    ranked.erase(best);
  }
  return replicas;
}

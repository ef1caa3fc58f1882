#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpIds.h"
#include "gpReplicaRanking.h"
#include "gpTime.h"

/** \class gpClaimTable
 * \brief The claims that one replica stores, by partition.
 *
 * A key is granted to its first claimant and to no other until the claimant
 * withdraws or the retention has passed.
 */
class gpClaimTable
{
public:
  explicit gpClaimTable(gpMillis aRetention);

  void SetRetention(gpMillis aRetention) { retention_ = aRetention; }
  gpMillis GetRetention() const { return retention_; }

  /// Grants the key if no other claimant has it. The verdict is Granted, Held
  /// or OtherBody.
  gpClaimReply Claim(const gpClaimRequest& aRequest, gpTime aNow);
  /// Reports the claimant of the key without changing the table. The verdict is
  /// Held, or Granted if the key has no claimant.
  gpClaimReply FindClaimant(const gpClaimQuery& aQuery) const;
  /// Removes the claim of this claimant, if there is one.
  void Withdraw(const gpClaimWithdraw& aWithdraw);
  /// Stores the answer of the key, if this claimant has a claim and the answer
  /// is not too large.
  void SetOutcome(const gpClaimOutcome& aOutcome);

  /// All claims of a partition, to be copied to a new replica.
  std::vector<gpClaimRecord> Export(gpPartition aPartition, gpTime aNow) const;
  /// Merges claims that were copied from another replica.
  void Import(const std::vector<gpClaimRecord>& aRecords, gpTime aNow);

  void Expire(gpTime aNow);
  std::size_t GetSize() const;

private:
  struct StoredClaim
  {
    gpDigest digest_;
    /// One, unless copies from other replicas disagreed.
    std::vector<gpClaimant> claimants_;
    std::optional<gpAnswer> outcome_;
    gpTime expiry_;
  };
  struct Expiry
  {
    gpTime when_;
    gpServiceKey key_;
  };
  using Claims = std::map<gpServiceKey, StoredClaim>;

  Claims& ClaimsOf(const gpServiceKey& aKey);
  const Claims& ClaimsOf(const gpServiceKey& aKey) const;
  void Insert(const gpServiceKey& aKey, StoredClaim aClaim);
  void ImportRecord(const gpClaimRecord& aRecord, gpTime aNow);

  gpMillis retention_;
  std::array<Claims, kClaimPartitions> partitions_;
  std::multimap<gpTime, gpServiceKey> expiries_;
};

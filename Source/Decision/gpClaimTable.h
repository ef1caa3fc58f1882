#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpHolderRanking.h"
#include "gpIds.h"
#include "gpTime.h"

/** \class gpClaimTable
 * \brief The claims that one holder remembers, by partition.
 *
 * A key is granted to its first claimant and to nobody else until that one
 * withdraws or the retention has passed.
 */
class gpClaimTable
{
public:
  explicit gpClaimTable(gpMillis aRetention);

  void SetRetention(gpMillis aRetention) { retention_ = aRetention; }
  gpMillis GetRetention() const { return retention_; }

  /// Grants the key or says why not: Granted, Held or OtherBody.
  gpClaimReply Claim(const gpClaimRequest& aRequest, gpTime aNow);
  /// Who has the key: Held, or Granted if it's free. Changes nothing.
  gpClaimReply Look(const gpClaimQuery& aQuery) const;
  /// Forgets the claim if it's of this claimant.
  void Withdraw(const gpClaimWithdraw& aWithdraw);
  /// Keeps the answer if the claim is of this claimant and the answer is not
  /// too large.
  void SetOutcome(const gpClaimOutcome& aOutcome);

  /// All claims of a partition, for a new holder.
  std::vector<gpClaimRecord> Export(gpPartition aPartition, gpTime aNow) const;
  /// Adds claims that another holder remembers.
  void Import(const std::vector<gpClaimRecord>& aRecords, gpTime aNow);

  void Expire(gpTime aNow);
  std::size_t GetSize() const;

private:
  struct Entry
  {
    gpDigest digest_;
    std::vector<gpClaimant> claimants_;
    std::optional<gpAnswer> outcome_;
    gpTime expiry_;
  };
  struct Expiry
  {
    gpTime when_;
    gpServiceKey key_;
  };
  using Claims = std::map<gpServiceKey, Entry>;

  Claims& ClaimsOf(const gpServiceKey& aKey);
  const Claims& ClaimsOf(const gpServiceKey& aKey) const;
  void Insert(const gpServiceKey& aKey, Entry aClaim);
  void ImportRecord(const gpClaimRecord& aRecord, gpTime aNow);

  gpMillis retention_;
  std::array<Claims, kClaimPartitions> partitions_;
  std::multimap<gpTime, gpServiceKey> expiries_;
};

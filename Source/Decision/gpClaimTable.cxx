#include "gpClaimTable.h"

#include <algorithm>
#include <utility>

namespace {

/// Larger outcomes are not stored by replicas.
constexpr std::size_t kMaxOutcomeBytes = 16U << 10U;

std::size_t
BytesOf(const gpAnswer& aAnswer)
{
  std::size_t bytes = 0;
  if (const auto* complete = std::get_if<gpComplete>(&aAnswer)) {
    for (const gpTaskResult& result : complete->results_) {
      bytes += sizeof(result) + result.body_.size();
    }
  }
  return bytes;
}

gpClaimReply
HeldBy(const gpJobId& aAsked,
       const gpClaimant& aClaimant,
       const std::optional<gpAnswer>& aOutcome)
{
  gpClaimReply reply;
  reply.job_ = aAsked;
  reply.verdict_ = gpClaimVerdict::Held;
  reply.claimant_ = aClaimant;
  reply.outcome_ = aOutcome;
  return reply;
}

gpClaimReply
Verdict(const gpJobId& aAsked, gpClaimVerdict aVerdict)
{
  gpClaimReply reply;
  reply.job_ = aAsked;
  reply.verdict_ = aVerdict;
  return reply;
}

} // namespace

gpClaimTable::gpClaimTable(gpMillis aRetention)
  : retention_(aRetention)
{
}

gpClaimReply
gpClaimTable::Claim(const gpClaimRequest& aRequest, gpTime aNow)
{
  Claims& claims = ClaimsOf(aRequest.key_);
  const gpJobId& job = aRequest.claimant_.job_;
  const auto found = claims.find(aRequest.key_);
  if (found == claims.end()) {
    Insert(aRequest.key_,
           StoredClaim{ aRequest.digest_,
                        { aRequest.claimant_ },
                        std::nullopt,
                        aNow + retention_ });
    return Verdict(job, gpClaimVerdict::Granted);
  }
  const StoredClaim& claim = found->second;
  if (claim.digest_ != aRequest.digest_) {
    return Verdict(job, gpClaimVerdict::OtherBody);
  }
  // Copies from two replicas may give a key several claimants, none of which
  // has a known quorum. Each of them is shown another one, so that none is
  // granted the key.
  for (const gpClaimant& claimant : claim.claimants_) {
    if (claimant.job_ != job) {
      return HeldBy(job, claimant, claim.outcome_);
    }
  }
  return Verdict(job, gpClaimVerdict::Granted);
}

gpClaimReply
gpClaimTable::FindClaimant(const gpClaimQuery& aQuery) const
{
  const Claims& claims = ClaimsOf(aQuery.key_);
  const auto found = claims.find(aQuery.key_);
  if (found == claims.end()) {
    return Verdict(aQuery.query_, gpClaimVerdict::Granted);
  }
  const StoredClaim& claim = found->second;
  return HeldBy(aQuery.query_, claim.claimants_.front(), claim.outcome_);
}

void
gpClaimTable::Withdraw(const gpClaimWithdraw& aWithdraw)
{
  Claims& claims = ClaimsOf(aWithdraw.key_);
  const auto found = claims.find(aWithdraw.key_);
  if (found == claims.end()) {
    return;
  }
  std::vector<gpClaimant>& claimants = found->second.claimants_;
  std::erase_if(claimants, [&](const gpClaimant& aClaimant) {
    return aClaimant.job_ == aWithdraw.job_;
  });
  if (claimants.empty()) {
    claims.erase(found);
  }
}

void
gpClaimTable::SetOutcome(const gpClaimOutcome& aOutcome)
{
  if (BytesOf(aOutcome.answer_) > kMaxOutcomeBytes) {
    return;
  }
  Claims& claims = ClaimsOf(aOutcome.key_);
  const auto found = claims.find(aOutcome.key_);
  if (found == claims.end()) {
    return;
  }
  StoredClaim& claim = found->second;
  for (const gpClaimant& claimant : claim.claimants_) {
    if (claimant.job_ == aOutcome.job_) {
      claim.outcome_ = aOutcome.answer_;
      // Only a claimant with a quorum has an outcome, so the other claimants
      // never had a quorum.
      claim.claimants_ = { gpClaimant(claimant) };
      return;
    }
  }
}

std::vector<gpClaimRecord>
gpClaimTable::Export(gpPartition aPartition, gpTime aNow) const
{
  std::vector<gpClaimRecord> records;
  for (const auto& [key, claim] : partitions_.at(aPartition.value_)) {
    const auto remaining =
      std::chrono::ceil<gpMillis>(std::max(claim.expiry_ - aNow, gpMicros(0)));
    records.push_back(
      { key, claim.digest_, claim.claimants_, remaining, claim.outcome_ });
  }
  return records;
}

void
gpClaimTable::Import(const std::vector<gpClaimRecord>& aRecords, gpTime aNow)
{
  for (const gpClaimRecord& record : aRecords) {
    ImportRecord(record, aNow);
  }
}

void
gpClaimTable::Expire(gpTime aNow)
{
  while (!expiries_.empty() && expiries_.begin()->first <= aNow) {
    const gpServiceKey key = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    Claims& claims = ClaimsOf(key);
    const auto found = claims.find(key);
    if (found != claims.end() && found->second.expiry_ <= aNow) {
      claims.erase(found);
    }
  }
}

std::size_t
gpClaimTable::GetSize() const
{
  std::size_t size = 0;
  for (const Claims& claims : partitions_) {
    size += claims.size();
  }
  return size;
}

gpClaimTable::Claims&
gpClaimTable::ClaimsOf(const gpServiceKey& aKey)
{
  return partitions_.at(gpPartitionOf(aKey).value_);
}

const gpClaimTable::Claims&
gpClaimTable::ClaimsOf(const gpServiceKey& aKey) const
{
  return partitions_.at(gpPartitionOf(aKey).value_);
}

void
gpClaimTable::Insert(const gpServiceKey& aKey, StoredClaim aClaim)
{
  expiries_.emplace(aClaim.expiry_, aKey);
  ClaimsOf(aKey).insert_or_assign(aKey, std::move(aClaim));
}

void
gpClaimTable::ImportRecord(const gpClaimRecord& aRecord, gpTime aNow)
{
  const Claims& claims = ClaimsOf(aRecord.key_);
  const auto found = claims.find(aRecord.key_);
  StoredClaim merged{ aRecord.digest_,
                      aRecord.claimants_,
                      aRecord.outcome_,
                      aNow + aRecord.remaining_ };
  if (found != claims.end()) {
    const StoredClaim& mine = found->second;
    for (const gpClaimant& claimant : mine.claimants_) {
      if (std::ranges::find(merged.claimants_, claimant) ==
          merged.claimants_.end()) {
        merged.claimants_.push_back(claimant);
      }
    }
    if (!merged.outcome_.has_value()) {
      merged.outcome_ = mine.outcome_;
    }
    merged.expiry_ = std::max(merged.expiry_, mine.expiry_);
  }
  Insert(aRecord.key_, std::move(merged));
}

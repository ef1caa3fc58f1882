#include "gpPartitionReplica.h"

#include <algorithm>

namespace {

bool
Contains(const std::vector<gpIncarnation>& aReplicas, gpIncarnation aGuard)
{
  return std::ranges::find(aReplicas, aGuard) != aReplicas.end();
}

bool
WasFormed(const gpRoster& aRoster, const gpServiceName& aService)
{
  const auto found = aRoster.claimableServices_.find(aService);
  return found != aRoster.claimableServices_.end() && found->second;
}

} // namespace

void
gpPartitionReplica::ChangeRoster(const gpRoster& aRoster,
                                 const gpServiceName& aService,
                                 bool aContiguous,
                                 gpTime aNow)
{
  for (std::uint32_t number = 0; number < kClaimPartitions; ++number) {
    ChangePartition(gpPartition(number), aRoster, aService, aContiguous, aNow);
  }
  roster_ = aRoster;
}

void
gpPartitionReplica::ChangePartition(gpPartition aNumber,
                                    const gpRoster& aRoster,
                                    const gpServiceName& aService,
                                    bool aContiguous,
                                    gpTime aNow)
{
  Partition& partition = partitions_.at(aNumber.value_);
  const bool holds = Contains(gpReplicasOf(aRoster, aService, aNumber), self_);
  if (!aContiguous) {
    partition = Partition{};
    partition.held_ = holds;
    partition.joinedEpoch_ = aRoster.epoch_;
    partition.joinedTime_ = aNow;
    return;
  }
  if (holds && !partition.held_) {
    Join(partition, aNumber, aRoster, aService, aNow);
  } else if (!holds && partition.held_) {
    partition.held_ = false;
    partition.leftEpoch_ = aRoster.epoch_;
    partition.sources_.clear();
  }
}

void
gpPartitionReplica::Join(Partition& aPartition,
                         gpPartition aNumber,
                         const gpRoster& aRoster,
                         const gpServiceName& aService,
                         gpTime aNow)
{
  aPartition = Partition{};
  aPartition.held_ = true;
  aPartition.joinedEpoch_ = aRoster.epoch_;
  aPartition.joinedTime_ = aNow;
  // A claim needs grants of two replicas. A service that never had two members
  // has no claims, so there is nothing to copy.
  aPartition.complete_ = !WasFormed(roster_, aService);
  if (aPartition.complete_) {
    return;
  }
  for (const gpIncarnation guard : gpReplicasOf(roster_, aService, aNumber)) {
    const gpAddress& address = roster_.members_.at(guard).address_;
    aPartition.sources_.emplace(guard, gpCopySource{ address, false, {} });
  }
}

gpClaimVerdict
gpPartitionReplica::Judge(gpPartition aPartition) const
{
  const Partition& partition = partitions_.at(aPartition.value_);
  if (!partition.held_) {
    return gpClaimVerdict::NotHolder;
  }
  return partition.complete_ ? gpClaimVerdict::Granted
                             : gpClaimVerdict::Abstains;
}

gpCopyVerdict
gpPartitionReplica::JudgeCopy(const gpCopyRequest& aRequest) const
{
  if (roster_.epoch_ < aRequest.epoch_) {
    return gpCopyVerdict::Behind;
  }
  const Partition& partition = partitions_.at(aRequest.partition_.value_);
  const bool heldBefore =
    partition.joinedEpoch_ < aRequest.epoch_ &&
    (partition.held_ || partition.leftEpoch_.has_value()) &&
    partition.leftEpoch_.value_or(aRequest.epoch_) >= aRequest.epoch_;
  return heldBefore && partition.complete_ ? gpCopyVerdict::Copied
                                           : gpCopyVerdict::NotComplete;
}

std::vector<gpPartitionReplica::CopyNeed>
gpPartitionReplica::FindCopyNeeds(gpTime aAskedBefore) const
{
  std::vector<CopyNeed> needs;
  for (std::uint32_t number = 0; number < kClaimPartitions; ++number) {
    const Partition& partition = partitions_.at(number);
    if (!partition.held_ || partition.complete_) {
      continue;
    }
    for (const auto& [guard, source] : partition.sources_) {
      const bool due =
        !source.asked_.has_value() || *source.asked_ <= aAskedBefore;
      if (!source.copied_ && due) {
        needs.push_back({ gpPartition(number),
                          partition.joinedEpoch_,
                          guard,
                          source.address_ });
      }
    }
  }
  return needs;
}

void
gpPartitionReplica::NoteAsked(const CopyNeed& aNeed, gpTime aNow)
{
  auto& sources = partitions_.at(aNeed.partition_.value_).sources_;
  const auto found = sources.find(aNeed.source_);
  if (found != sources.end()) {
    found->second.asked_ = aNow;
  }
}

bool
gpPartitionReplica::NoteCopied(gpPartition aPartition,
                               gpRosterEpoch aEpoch,
                               gpIncarnation aSource)
{
  Partition& partition = partitions_.at(aPartition.value_);
  const auto found = partition.sources_.find(aSource);
  const bool wanted = partition.held_ && !partition.complete_ &&
                      partition.joinedEpoch_ == aEpoch &&
                      found != partition.sources_.end();
  if (!wanted) {
    return false;
  }
  found->second.copied_ = true;
  const auto copied =
    std::ranges::count_if(partition.sources_, [](const auto& aEntry) {
      return aEntry.second.copied_;
    });
  partition.complete_ = copied >= static_cast<std::ptrdiff_t>(kClaimQuorum);
  return partition.complete_;
}

std::size_t
gpPartitionReplica::NoteRetention(gpMillis aRetention, gpTime aNow)
{
  std::size_t completed = 0;
  for (Partition& partition : partitions_) {
    const bool waits = partition.held_ && !partition.complete_;
    if (waits && partition.joinedTime_ + aRetention <= aNow) {
      partition.complete_ = true;
      partition.sources_.clear();
      ++completed;
    }
  }
  return completed;
}

std::size_t
gpPartitionReplica::CountAbstaining() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(partitions_, [](const Partition& aPartition) {
      return aPartition.held_ && !aPartition.complete_;
    }));
}

std::size_t
gpPartitionReplica::CountHeld() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    partitions_, [](const Partition& aPartition) { return aPartition.held_; }));
}

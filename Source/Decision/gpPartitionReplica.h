#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpIds.h"
#include "gpMember.h"
#include "gpReplicaRanking.h"
#include "gpTime.h"

/** \class gpCopySource
 * \brief A replica of the previous epoch, from which a new replica copies
 * claims.
 */
struct gpCopySource
{
  gpAddress address_;
  bool copied_ = false;
  /// When it was last asked for its claims; not set if it was never asked.
  std::optional<gpTime> asked_;
};

/** \class gpPartitionReplica
 * \brief Tracks of which claim partitions this guard is a replica, and whether
 * it is complete for each.
 *
 * A guard that becomes a replica of a partition is complete, and may grant
 * claims, once it has copied the claims of two complete replicas of the
 * previous epoch. A claim is granted by two of three replicas, so any two
 * complete replicas of a partition jointly know every claim that was made. If
 * two can't be copied, the guard abstains until all claims that it might not
 * know of have expired. The proof is in docs/design/claims.md.
 */
class gpPartitionReplica
{
public:
  /// A partition that is not complete, and a source to copy its claims from.
  struct CopyNeed
  {
    gpPartition partition_;
    /// The epoch at which this guard became a replica of the partition.
    gpRosterEpoch epoch_;
    gpIncarnation source_;
    gpAddress address_;
  };

  explicit gpPartitionReplica(gpIncarnation aSelf)
    : self_(aSelf)
  {
  }

  /// Applies the next roster. If aContiguous is false, epochs were missed. Then
  /// other guards may have granted claims in between, so no partition counts as
  /// complete any more.
  void ChangeRoster(const gpRoster& aRoster,
                    const gpServiceName& aService,
                    bool aContiguous,
                    gpTime aNow);

  gpRosterEpoch GetEpoch() const { return roster_.epoch_; }
  const gpRoster& GetRoster() const { return roster_; }
  /// Whether the guard may give a verdict on claims of the partition: Granted
  /// if so, else NotHolder or Abstains.
  gpClaimVerdict Judge(gpPartition aPartition) const;
  /// Whether another guard, which became a replica at the epoch of the request,
  /// may copy from this one.
  gpCopyVerdict JudgeCopy(const gpCopyRequest& aRequest) const;

  /// Sources that are still to be copied from, and that were never asked or
  /// last asked at aAskedBefore or earlier.
  std::vector<CopyNeed> FindCopyNeeds(gpTime aAskedBefore) const;
  /// Records that the source was asked for its claims.
  void NoteAsked(const CopyNeed& aNeed, gpTime aNow);
  /// All claims of the source have been copied. Returns true if the partition
  /// is now complete.
  bool NoteCopied(gpPartition aPartition,
                  gpRosterEpoch aEpoch,
                  gpIncarnation aSource);
  /// Marks partitions as complete that have abstained for aRetention, as all
  /// claims that they might lack have expired. Returns their number.
  std::size_t NoteRetention(gpMillis aRetention, gpTime aNow);
  /// Number of partitions of which this guard is a replica that is not
  /// complete.
  std::size_t CountAbstaining() const;
  /// Number of partitions of which this guard is a replica.
  std::size_t CountHeld() const;

private:
  struct Partition
  {
    /// Whether this guard is a replica of the partition.
    bool held_ = false;
    /// Whether it knows all claims that it needs to know to grant one.
    bool complete_ = false;
    /// The epoch at which the guard became a replica, and when that was.
    gpRosterEpoch joinedEpoch_;
    gpTime joinedTime_;
    /// The epoch at which the guard ceased to be a replica.
    std::optional<gpRosterEpoch> leftEpoch_;
    /// The replicas of the epoch before joinedEpoch_.
    std::map<gpIncarnation, gpCopySource> sources_;
  };

  /// Makes this guard a replica of the partition at the epoch of the roster.
  void Join(Partition& aPartition,
            gpPartition aNumber,
            const gpRoster& aRoster,
            const gpServiceName& aService,
            gpTime aNow);
  void ChangePartition(gpPartition aNumber,
                       const gpRoster& aRoster,
                       const gpServiceName& aService,
                       bool aContiguous,
                       gpTime aNow);

  gpIncarnation self_;
  gpRoster roster_;
  std::array<Partition, kClaimPartitions> partitions_;
};

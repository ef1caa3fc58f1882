#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpHolderRanking.h"
#include "gpIds.h"
#include "gpMember.h"
#include "gpTime.h"

/** \class gpCopySource
 * \brief A holder of the epoch before, from which a new holder copies.
 */
struct gpCopySource
{
  gpAddress address_;
  bool copied_ = false;
  /// When it was last asked; not set if it wasn't, or if it must be again.
  std::optional<gpTime> asked_;
};

/** \class gpPartitionHolder
 * \brief Which claim partitions this guard holds, and how completely.
 *
 * A guard that becomes a holder is complete, and may grant, once it has copied
 * the claims of two complete holders of the epoch before. Any two complete
 * holders of a partition then jointly know every claim that was made. Where
 * two can't be copied, the guard abstains until the retention has passed.
 * The argument is in docs/design/claims.md.
 */
class gpPartitionHolder
{
public:
  /// A partition whose claims this guard has to ask a source for.
  struct CopyNeed
  {
    gpPartition partition_;
    gpRosterEpoch epoch_;
    gpIncarnation source_;
    gpAddress address_;
  };

  explicit gpPartitionHolder(gpIncarnation aSelf)
    : self_(aSelf)
  {
  }

  /// Takes the next roster. With aContiguous false, epochs were missed, and
  /// nothing is known to be complete any more.
  void ChangeRoster(const gpRoster& aRoster,
                    const gpServiceName& aService,
                    bool aContiguous,
                    gpTime aNow);

  gpRosterEpoch GetEpoch() const { return roster_.epoch_; }
  const gpRoster& GetRoster() const { return roster_; }
  /// Whether the guard may say anything about claims of the partition;
  /// Granted if so, else NotHolder or Abstains.
  gpClaimVerdict Judge(gpPartition aPartition) const;
  /// Whether another guard that became a holder at the epoch may copy from
  /// this one.
  gpCopyVerdict JudgeCopy(const gpCopyRequest& aRequest) const;

  /// Sources that are still to be copied from and were not asked since
  /// aAskedBefore.
  std::vector<CopyNeed> FindCopyNeeds(gpTime aAskedBefore) const;
  void NoteAsked(const CopyNeed& aNeed, gpTime aNow);
  /// The source gave all its claims. True if the partition is now complete.
  bool NoteCopied(gpPartition aPartition,
                  gpRosterEpoch aEpoch,
                  gpIncarnation aSource);
  /// Makes partitions complete that have abstained for the retention. Returns
  /// their number.
  std::size_t NoteRetention(gpMillis aRetention, gpTime aNow);
  /// Held partitions that are not complete.
  std::size_t CountAbstaining() const;
  /// Held partitions.
  std::size_t CountHeld() const;

private:
  struct Partition
  {
    bool held_ = false;
    bool complete_ = false;
    gpRosterEpoch joined_;
    gpTime joinedTime_;
    /// The epoch at which the guard ceased to be a holder.
    std::optional<gpRosterEpoch> left_;
    std::map<gpIncarnation, gpCopySource> sources_;
  };

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

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpAnswer.h"
#include "gpDigest.h"
#include "gpIds.h"

/** \brief Messages of the claim protocol; see docs/design/claims.md.
 *
 * A family of plain aggregates shares this file.
 */

/** \class gpClaimant
 * \brief The one incarnation of an entry that may start the tasks of a key.
 */
struct gpClaimant
{
  /// Names the claim as well as the job that it's for.
  gpJobId job_;
  /// Where other entries reach the claimant.
  gpAddress address_;

  bool operator==(const gpClaimant&) const = default;
};

/** \class gpClaimRequest
 * \brief Entry to guard: grant me this key.
 */
struct gpClaimRequest
{
  gpServiceKey key_;
  gpDigest digest_;
  gpClaimant claimant_;
  gpRosterEpoch epoch_;

  bool operator==(const gpClaimRequest&) const = default;
};

/// What a holder says to a claim.
enum class gpClaimVerdict
{
  Granted,
  Held,       ///< another claimant has the key
  OtherBody,  ///< the key belongs to a submission with another digest
  StaleEpoch, ///< the holder's roster is newer
  BehindYou,  ///< the holder's roster is older; it will catch up
  NotHolder,  ///< the roster of this epoch gives the key to others
  Abstains,   ///< the holder hasn't yet copied the partition's claims
};

/** \class gpClaimReply
 * \brief Guard to entry: the verdict on a claim.
 */
struct gpClaimReply
{
  /// The claim that was asked for.
  gpJobId job_;
  gpClaimVerdict verdict_ = gpClaimVerdict::Abstains;
  /// The holder's epoch.
  gpRosterEpoch epoch_;
  /// The claimant that has the key; set with Held.
  std::optional<gpClaimant> claimant_;
  /// The outcome, if the claimant has given it; may be set with Held.
  std::optional<gpAnswer> outcome_;

  bool operator==(const gpClaimReply&) const = default;
};

/** \class gpClaimWithdraw
 * \brief Entry to guard: nothing was or will be started under this claim.
 */
struct gpClaimWithdraw
{
  gpServiceKey key_;
  gpJobId job_;

  bool operator==(const gpClaimWithdraw&) const = default;
};

/** \class gpClaimOutcome
 * \brief Entry to guard: the answer of the claimed job, to be remembered.
 */
struct gpClaimOutcome
{
  gpServiceKey key_;
  gpJobId job_;
  gpAnswer answer_;

  bool operator==(const gpClaimOutcome&) const = default;
};

/** \class gpClaimQuery
 * \brief Entry to guard: who has this key? Changes nothing.
 */
struct gpClaimQuery
{
  gpServiceKey key_;
  /// Comes back as job_ of the reply.
  gpJobId query_;

  bool operator==(const gpClaimQuery&) const = default;
};

/** \class gpClaimRecord
 * \brief One claim as a holder remembers it.
 *
 * More than one claimant can be known for a key after a copy: each of them
 * was granted by some holder. Such a key is granted to none of them.
 */
struct gpClaimRecord
{
  gpServiceKey key_;
  gpDigest digest_;
  std::vector<gpClaimant> claimants_;
  /// Time left until the holder may forget the claim.
  gpMillis remaining_{ 0 };
  std::optional<gpAnswer> outcome_;

  bool operator==(const gpClaimRecord&) const = default;
};

/** \class gpCopyRequest
 * \brief Guard to guard: give me the claims of a partition.
 */
struct gpCopyRequest
{
  gpServiceName service_;
  gpPartition partition_;
  /// Epoch at which the asking guard became a holder. The giver moves to it,
  /// or a later one, before it answers.
  gpRosterEpoch epoch_;

  bool operator==(const gpCopyRequest&) const = default;
};

/// What a guard says to a copy request.
enum class gpCopyVerdict
{
  Copied,
  NotComplete, ///< the guard itself doesn't know all claims
  Behind,      ///< the guard's roster is older than the epoch asked for
};

/** \class gpCopyReply
 * \brief Guard to guard: the claims of a partition, in one or more messages.
 */
struct gpCopyReply
{
  gpServiceName service_;
  gpPartition partition_;
  gpRosterEpoch epoch_;
  gpCopyVerdict verdict_ = gpCopyVerdict::NotComplete;
  std::vector<gpClaimRecord> records_;
  /// False if more messages of this copy follow.
  bool last_ = true;

  bool operator==(const gpCopyReply&) const = default;
};

/** \class gpAttachRequest
 * \brief Entry to entry: give me the answer of the job you claimed.
 */
struct gpAttachRequest
{
  gpServiceKey key_;
  /// The claim as the holder told it.
  gpJobId job_;

  bool operator==(const gpAttachRequest&) const = default;
};

/** \class gpAttachReply
 * \brief Entry to entry: the answer, once there is one.
 */
struct gpAttachReply
{
  gpJobId job_;
  /// Not set if the claim was withdrawn or never used.
  std::optional<gpAnswer> answer_;

  bool operator==(const gpAttachReply&) const = default;
};

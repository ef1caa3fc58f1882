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
 * Before an entry starts the tasks of a submission with a key, it claims the
 * key, so that a repeated submission at another entry doesn't run them again.
 * A service's keys are divided into partitions. Some guards of the service, the
 * replicas of a partition, store its claims. An entry wins a claim once a
 * majority of them has granted it.
 */

/** \class gpClaimant
 * \brief The entry that made a claim: only the claimant that a majority of the
 * replicas granted the key may start the tasks.
 */
struct gpClaimant
{
  /// The ID of the claim as well as of the job that it's for.
  gpJobId job_;
  /// Address for links from other entries.
  gpAddress address_;

  bool operator==(const gpClaimant&) const = default;
};

/** \class gpClaimRequest
 * \brief Entry to guard: asks for a claim of this key.
 */
struct gpClaimRequest
{
  gpServiceKey key_;
  /// Digest of the submission's body.
  gpDigest digest_;
  gpClaimant claimant_;
  /// Epoch of the roster by which the sender chose the replicas.
  gpRosterEpoch epoch_;

  bool operator==(const gpClaimRequest&) const = default;
};

/// The decision of a replica on a claim.
enum class gpClaimVerdict
{
  Granted,
  Held,       ///< another claimant has the key
  OtherBody,  ///< the key belongs to a submission with another digest
  StaleEpoch, ///< the replica's roster is newer than the request's epoch
  BehindYou,  ///< the replica's roster is older, and will be updated
  NotHolder,  ///< the guard is no replica of the key's partition at this epoch
  Abstains,   ///< the replica may lack claims: it hasn't yet copied those of
              ///< the partition, or has had no contact to the log for too long
};

/** \class gpClaimReply
 * \brief Guard to entry: the verdict on a claim, or the answer to a query.
 */
struct gpClaimReply
{
  /// The claim of the gpClaimRequest, or gpClaimQuery::query_.
  gpJobId job_;
  gpClaimVerdict verdict_ = gpClaimVerdict::Abstains;
  /// Epoch of the replica's roster.
  gpRosterEpoch epoch_;
  /// The claimant that has the key; set with Held.
  std::optional<gpClaimant> claimant_;
  /// The job's answer, if the claimant has sent it; may be set with Held.
  std::optional<gpAnswer> outcome_;

  bool operator==(const gpClaimReply&) const = default;
};

/** \class gpClaimWithdraw
 * \brief Entry to guard: releases a claim under which no task was or will be
 * started.
 */
struct gpClaimWithdraw
{
  gpServiceKey key_;
  gpJobId job_;

  bool operator==(const gpClaimWithdraw&) const = default;
};

/** \class gpClaimOutcome
 * \brief Entry to guard: the answer of the claimed job, to be stored with the
 * claim.
 */
struct gpClaimOutcome
{
  gpServiceKey key_;
  gpJobId job_;
  gpAnswer answer_;

  bool operator==(const gpClaimOutcome&) const = default;
};

/** \class gpClaimQuery
 * \brief Entry to guard: asks for the claimant of this key. Read-only.
 */
struct gpClaimQuery
{
  gpServiceKey key_;
  /// ID of the query, returned as job_ of the reply.
  gpJobId query_;

  bool operator==(const gpClaimQuery&) const = default;
};

/** \class gpClaimRecord
 * \brief One claim as a replica stores it.
 *
 * A replica that copied the claims of several others can know more than one
 * claimant of a key, each granted by another replica. It grants such a key to
 * none of them.
 */
struct gpClaimRecord
{
  gpServiceKey key_;
  gpDigest digest_;
  std::vector<gpClaimant> claimants_;
  /// Time left until the replica may delete the claim.
  gpMillis remaining_{ 0 };
  std::optional<gpAnswer> outcome_;

  bool operator==(const gpClaimRecord&) const = default;
};

/** \class gpCopyRequest
 * \brief Guard to guard: asks for the claims of a partition.
 */
struct gpCopyRequest
{
  gpServiceName service_;
  gpPartition partition_;
  /// Epoch at which the requesting guard became a replica. The other guard
  /// answers only once its roster has reached this epoch.
  gpRosterEpoch epoch_;

  bool operator==(const gpCopyRequest&) const = default;
};

/// The result of a copy request.
enum class gpCopyVerdict
{
  Copied,
  NotComplete, ///< the guard itself doesn't have all claims
  Behind,      ///< the guard's roster is older than the requested epoch
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
 * \brief Entry to entry: asks the claimant of a key for the answer of its job.
 */
struct gpAttachRequest
{
  gpServiceKey key_;
  /// The claim, as a replica reported it.
  gpJobId job_;

  bool operator==(const gpAttachRequest&) const = default;
};

/** \class gpAttachReply
 * \brief Entry to entry: the answer of the job, sent once it has ended.
 */
struct gpAttachReply
{
  gpJobId job_;
  /// Not set if the claim was withdrawn or no task was started under it.
  std::optional<gpAnswer> answer_;

  bool operator==(const gpAttachReply&) const = default;
};

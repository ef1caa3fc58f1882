#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpClaimRound.h"
#include "gpEffect.h"
#include "gpIds.h"
#include "gpJob.h"
#include "gpLinkTable.h"
#include "gpMember.h"
#include "gpProcessSettings.h"
#include "gpReplicaCache.h"
#include "gpTime.h"

/** \class gpClaimResult
 * \brief The result of one round of claim requests or queries for a job.
 */
struct gpClaimResult
{
  gpJobId job_;
  gpClaimRound::Kind kind_ = gpClaimRound::Kind::Claim;
  gpRoundResult result_ = gpRoundResult::Unavailable;
  /// The claimant that has the key, if a replica reported one.
  std::optional<gpClaimant> claimant_;
  /// The answer of the key, if a replica reported it.
  std::optional<gpAnswer> answer_;
  /// Replicas that granted the claim or may have granted it.
  std::vector<gpIncarnation> grants_;
};

/** \class gpEntryClaims
 * \brief The entry's side of the claim protocol: claims keys at their replicas,
 * queries them, and withdraws claims that it can't use.
 */
class gpEntryClaims
{
public:
  /// aAddress is the address of this entry for other entries.
  gpEntryClaims(gpAddress aAddress,
                gpTimings aTimings,
                const gpLinkTable& aLinks);

  /// Starts a round for the key of the job. TakeResults returns the result,
  /// possibly right after this call.
  void Begin(const gpJob& aJob,
             gpClaimRound::Kind aKind,
             gpTime aNow,
             gpEffects& aOut);
  /// Ends a round without a result. If it was a claim, withdraws it.
  void Abandon(const gpJobId& aJob, gpTime aNow, gpEffects& aOut);
  /// Withdraws a claim that was won, for a job of which no task was or will be
  /// started.
  void Withdraw(const gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Sends the withdrawal of a claim to the replicas again; a replica that was
  /// unreachable at the first time may still store the claim.
  void WithdrawAgain(const gpServiceKey& aKey,
                     const gpJobId& aJob,
                     gpTime aNow,
                     gpEffects& aOut);
  /// Sends the answer of a job to the replicas that granted its claim.
  void SendOutcome(const gpJob& aJob, gpEffects& aOut);
  /// Whether the claim was withdrawn. Withdrawals are remembered for longer
  /// than the replicas may keep a claim.
  bool IsWithdrawn(const gpJobId& aJob) const;

  void OnRoster(const gpRoster& aRoster, gpTime aNow, gpEffects& aOut);
  void OnReply(gpIncarnation aReplica,
               const gpClaimReply& aReply,
               gpTime aNow,
               gpEffects& aOut);
  void OnLinkLost(gpIncarnation aReplica, gpTime aNow, gpEffects& aOut);
  void OnTime(gpTime aNow, gpEffects& aOut);
  std::vector<gpClaimResult> TakeResults();
  /// The next time at which OnTime has work to do; gpTime::max() if there is
  /// none.
  gpTime GetNextTime(gpTime aNow) const;

  const gpRoster& GetRoster() const { return replicas_.GetRoster(); }

private:
  /// A round that has no result yet.
  struct OpenRound
  {
    gpServiceKey key_;
    gpDigest digest_;
    gpClaimRound round_;
    gpTime startedAt_;
    /// Whether the round waits for a newer roster, because a replica already
    /// uses one.
    bool waitsForRoster_ = false;
  };

  gpClaimRound MakeRound(const gpServiceKey& aKey, gpClaimRound::Kind aKind);
  void Ask(const gpJobId& aJob,
           OpenRound& aOpenRound,
           gpTime aNow,
           gpEffects& aOut);
  /// Sends the next requests of the round, or ends it if it has a result or its
  /// time is up.
  void Advance(const gpJobId& aJob, gpTime aNow, gpEffects& aOut);
  void AdvanceAll(gpTime aNow, gpEffects& aOut);
  void Finish(const gpJobId& aJob,
              gpRoundResult aResult,
              gpTime aNow,
              gpEffects& aOut);
  void SendWithdraw(const gpServiceKey& aKey,
                    const gpJobId& aJob,
                    const std::vector<gpIncarnation>& aReplicas,
                    gpTime aNow,
                    gpEffects& aOut);

  gpAddress address_;
  gpTimings timings_;
  const gpLinkTable& links_;
  gpReplicaCache replicas_;
  std::map<gpJobId, OpenRound> openRounds_;
  std::vector<gpClaimResult> results_;
  /// The claims that were withdrawn, with the time until which each is
  /// remembered. By then no replica stores the claim, so no entry can ask for
  /// it.
  std::map<gpJobId, gpTime> withdrawn_;
};

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpClaimRound.h"
#include "gpEffect.h"
#include "gpHolderCache.h"
#include "gpIds.h"
#include "gpJob.h"
#include "gpLinkBook.h"
#include "gpMember.h"
#include "gpProcessSettings.h"
#include "gpTime.h"

/** \class gpClaimResult
 * \brief How the asking of holders for one job came out.
 */
struct gpClaimResult
{
  gpJobId job_;
  gpClaimRound::Kind kind_ = gpClaimRound::Kind::Claim;
  gpRoundResult result_ = gpRoundResult::Unavailable;
  std::optional<gpClaimant> claimant_;
  std::optional<gpAnswer> answer_;
  /// Holders that granted the claim.
  std::vector<gpIncarnation> grants_;
};

/** \class gpEntryClaims
 * \brief An entry's part in the claim protocol: asks the holders of a key and
 * withdraws what it can't use.
 */
class gpEntryClaims
{
public:
  /// aAddress is where other entries reach this one.
  gpEntryClaims(gpAddress aAddress,
                gpTimings aTimings,
                const gpLinkBook& aLinks);

  /// Asks the holders for the key of the job. The result comes from
  /// TakeResults, perhaps at once.
  void Begin(const gpJob& aJob,
             gpClaimRound::Kind aKind,
             gpTime aNow,
             gpEffects& aOut);
  /// Ends a round without a result; a claim is withdrawn.
  void Abandon(const gpJobId& aJob, gpTime aNow, gpEffects& aOut);
  /// Gives back a claim that was won; nothing was or will be started.
  void Withdraw(const gpJob& aJob, gpTime aNow, gpEffects& aOut);
  /// Tells the holders once more that a claim was withdrawn; one that was
  /// unreachable then may still hold it.
  void WithdrawAgain(const gpServiceKey& aKey,
                     const gpJobId& aJob,
                     gpTime aNow,
                     gpEffects& aOut);
  /// Gives the answer of a job to the holders of its key.
  void SendOutcome(const gpJob& aJob, gpEffects& aOut);
  /// Whether the claim was withdrawn. It may be asked of claims of long ago.
  bool IsWithdrawn(const gpJobId& aJob) const;

  void OnRoster(const gpRoster& aRoster, gpTime aNow, gpEffects& aOut);
  void OnReply(gpIncarnation aHolder,
               const gpClaimReply& aReply,
               gpTime aNow,
               gpEffects& aOut);
  void OnLinkLost(gpIncarnation aHolder, gpTime aNow, gpEffects& aOut);
  void OnTime(gpTime aNow, gpEffects& aOut);
  std::vector<gpClaimResult> TakeResults();
  /// When OnTime has something to do; gpTime::max() if never.
  gpTime GetNextTime(gpTime aNow) const;

  const gpRoster& GetRoster() const { return holders_.GetRoster(); }

private:
  struct Active
  {
    gpServiceKey key_;
    gpDigest digest_;
    gpClaimRound round_;
    gpTime startedAt_;
    /// The round waits for a newer roster.
    bool stale_ = false;
  };

  gpClaimRound MakeRound(const gpServiceKey& aKey, gpClaimRound::Kind aKind);
  void Ask(const gpJobId& aJob, Active& aActive, gpTime aNow, gpEffects& aOut);
  /// Asks on, or notes the result and ends the round.
  void Advance(const gpJobId& aJob, gpTime aNow, gpEffects& aOut);
  void AdvanceAll(gpTime aNow, gpEffects& aOut);
  void Finish(const gpJobId& aJob,
              gpRoundResult aResult,
              gpTime aNow,
              gpEffects& aOut);
  void SendWithdraw(const gpServiceKey& aKey,
                    const gpJobId& aJob,
                    const std::vector<gpIncarnation>& aHolders,
                    gpTime aNow,
                    gpEffects& aOut);

  gpAddress address_;
  gpTimings timings_;
  const gpLinkBook& links_;
  gpHolderCache holders_;
  std::map<gpJobId, Active> active_;
  std::vector<gpClaimResult> results_;
  /// Claims that were withdrawn, until nobody can ask for them any more.
  std::map<gpJobId, gpTime> withdrawn_;
};

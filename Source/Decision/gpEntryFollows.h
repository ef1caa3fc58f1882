#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gpClaimMessages.h"
#include "gpEffect.h"
#include "gpIds.h"
#include "gpJob.h"
#include "gpLinkBook.h"
#include "gpPeer.h"
#include "gpTime.h"

/// How following another claimant came out.
enum class gpFollowEnd
{
  Answered,    ///< the claimant gave the answer
  Withdrawn,   ///< the claimant never started anything
  Gone,        ///< the claimant's process has ended
  Unreachable, ///< the claimant can't be reached
};

/** \class gpFollowResult
 * \brief How following another claimant came out for one job.
 */
struct gpFollowResult
{
  gpJobId job_;
  gpFollowEnd end_ = gpFollowEnd::Gone;
  std::optional<gpAnswer> answer_;
};

/** \class gpEntryFollows
 * \brief Gets answers from the other entries that claimed the keys of jobs
 * submitted here.
 */
class gpEntryFollows
{
public:
  /// A claimant that isn't reached for aPatience is called unreachable.
  gpEntryFollows(gpMillis aPatience, const gpLinkBook& aLinks);

  /// Follows the claimant. The result comes from TakeResults.
  void Begin(const gpJob& aJob,
             const gpClaimant& aClaimant,
             gpTime aNow,
             gpEffects& aOut);
  void Abandon(const gpJobId& aJob, gpEffects& aOut);

  void OnEntryLink(gpLinkId aLink, const gpPeer& aPeer, gpEffects& aOut);
  void OnLinkLost(const gpPeer& aPeer, gpTime aNow);
  void OnDialFailed(const gpAddress& aAddress, bool aRefused, gpEffects& aOut);
  void OnReply(const gpAttachReply& aReply, gpEffects& aOut);
  void OnTime(gpTime aNow, gpEffects& aOut);
  std::vector<gpFollowResult> TakeResults();
  /// When OnTime has something to do; gpTime::max() if never.
  gpTime GetNextTime() const;

private:
  struct Follow
  {
    gpServiceKey key_;
    gpClaimant claimant_;
    /// Since when the claimant isn't linked; not set while it is.
    std::optional<gpTime> unlinkedSince_;
  };

  void Ask(gpLinkId aLink, const Follow& aFollow, gpEffects& aOut) const;
  void Finish(const gpJobId& aJob,
              gpFollowEnd aEnd,
              std::optional<gpAnswer> aAnswer,
              gpEffects& aOut);
  std::vector<gpJobId> ListBy(const gpAddress& aAddress) const;

  gpMillis patience_;
  const gpLinkBook& links_;
  std::map<gpJobId, Follow> follows_;
  /// Number of follows that watch each address.
  std::map<gpAddress, std::size_t> watched_;
  std::vector<gpFollowResult> results_;
};

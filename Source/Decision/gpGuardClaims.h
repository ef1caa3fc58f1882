#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "gpClaimMessages.h"
#include "gpClaimTable.h"
#include "gpEffect.h"
#include "gpIds.h"
#include "gpLinkBook.h"
#include "gpPartitionHolder.h"
#include "gpTime.h"

/** \class gpGuardClaims
 * \brief A guard's part in the claim protocol: grants keys as their holder and
 * copies claims from other holders.
 */
class gpGuardClaims
{
public:
  gpGuardClaims(gpIncarnation aSelf, const gpLinkBook& aLinks);

  /// The service whose claims the guard may hold.
  void SetService(const gpServiceName& aService) { service_ = aService; }
  /// How long claims last, and how long a holder that hears nothing of the
  /// log service may still grant.
  void SetRetention(gpMillis aRetention, gpMillis aLogSilence);

  void OnRoster(const gpRoster& aRoster,
                bool aContiguous,
                gpTime aNow,
                gpEffects& aOut);
  void OnLogContact(gpTime aNow) { logContact_ = aNow; }
  /// A link to another guard is open, or its address can't be reached.
  void OnGuardLink(gpTime aNow, gpEffects& aOut);
  void OnTime(gpTime aNow, gpEffects& aOut);

  void OnClaim(gpLinkId aLink,
               const gpClaimRequest& aRequest,
               gpTime aNow,
               gpEffects& aOut);
  void OnQuery(gpLinkId aLink,
               const gpClaimQuery& aQuery,
               gpTime aNow,
               gpEffects& aOut);
  void OnWithdraw(const gpClaimWithdraw& aWithdraw, gpEffects& aOut);
  void OnOutcome(const gpClaimOutcome& aOutcome);
  void OnCopyRequest(gpLinkId aLink,
                     const gpCopyRequest& aRequest,
                     gpTime aNow,
                     gpEffects& aOut);
  void OnCopyReply(gpLinkId aLink,
                   const gpCopyReply& aReply,
                   gpTime aNow,
                   gpEffects& aOut);

  /// Whether claims are still to be copied from other holders.
  bool IsCopying() const { return !watched_.empty(); }
  const gpPartitionHolder& GetPartitions() const { return partitions_; }
  std::size_t CountClaims() const { return table_.GetSize(); }

private:
  gpClaimVerdict Judge(const gpServiceKey& aKey, gpTime aNow) const;
  void AskSources(gpTime aNow, gpEffects& aOut);
  void UpdateWatches(gpEffects& aOut);

  gpIncarnation self_;
  const gpLinkBook& links_;
  gpServiceName service_;
  gpMillis logSilence_;
  gpTime logContact_;
  gpClaimTable table_;
  gpPartitionHolder partitions_;
  /// Addresses of guards that are linked to for copying.
  std::set<gpAddress> watched_;
};

#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "gpClaimMessages.h"
#include "gpClaimTable.h"
#include "gpEffect.h"
#include "gpIds.h"
#include "gpLinkTable.h"
#include "gpPartitionReplica.h"
#include "gpTime.h"

/** \class gpGuardClaims
 * \brief The guard's side of the claim protocol: answers claims and queries as
 * a replica, and copies claims from other replicas.
 */
class gpGuardClaims
{
public:
  gpGuardClaims(gpIncarnation aSelf, const gpLinkTable& aLinks);

  /// Sets the service whose claims the guard may store.
  void SetService(const gpServiceName& aService) { service_ = aService; }
  /// Sets how long claims are stored, and how long the guard may grant claims
  /// after its last contact with the log service.
  void SetRetention(gpMillis aRetention, gpMillis aLogSilence);

  void OnRoster(const gpRoster& aRoster,
                bool aContiguous,
                gpTime aNow,
                gpEffects& aOut);
  void OnLogContact(gpTime aNow) { logContact_ = aNow; }
  /// A link to another guard was established.
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

  /// Whether claims are still to be copied from other replicas.
  bool IsCopying() const { return !watched_.empty(); }
  const gpPartitionReplica& GetPartitions() const { return partitions_; }
  std::size_t CountClaims() const { return table_.GetSize(); }

private:
  /// Granted if the guard may give verdicts on the key now; else NotHolder or
  /// Abstains.
  gpClaimVerdict Judge(const gpServiceKey& aKey, gpTime aNow) const;
  /// Sends the copy requests that are due.
  void AskSources(gpTime aNow, gpEffects& aOut);
  /// Requests links to the sources that are still needed, and ends the others.
  void UpdateWatches(gpEffects& aOut);

  gpIncarnation self_;
  const gpLinkTable& links_;
  gpServiceName service_;
  gpMillis logSilence_;
  /// When the log service last answered a read of the roster.
  gpTime logContact_;
  gpClaimTable table_;
  gpPartitionReplica partitions_;
  /// The addresses of the guards that claims are still to be copied from; the
  /// process keeps links to them.
  std::set<gpAddress> watched_;
};

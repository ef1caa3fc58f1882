#pragma once

#include <vector>

#include "gpConfiguration.h"
#include "gpEffect.h"
#include "gpGuardDirectory.h"
#include "gpIds.h"
#include "gpLinkTable.h"
#include "gpMember.h"
#include "gpProcessSettings.h"
#include "gpTime.h"

class gpEntryDispatch;

/** \class gpEntryMembership
 * \brief Keeps an entry linked to the guards of the roster, and requests the
 * removal of guards that have ended or are unreachable.
 */
class gpEntryMembership
{
public:
  gpEntryMembership(gpTimings aTimings,
                    const gpLinkTable& aLinks,
                    gpGuardDirectory& aGuards,
                    gpEntryDispatch& aDispatch);

  void OnRoster(const gpRoster& aRoster, gpTime aNow, gpEffects& aOut);
  void OnDrains(const std::set<gpDrain>& aDrains);
  /// A guard announced itself directly, without the roster.
  void OnAnnounced(const gpMember& aMember, gpTime aNow, gpEffects& aOut);
  void OnGuardLink(gpLinkId aLink,
                   const gpPeer& aPeer,
                   gpTime aNow,
                   gpEffects& aOut);
  void OnLinkLost(gpIncarnation aGuard,
                  gpLinkId aLink,
                  gpTime aNow,
                  gpEffects& aOut);
  void OnTime(gpTime aNow, gpEffects& aOut);

private:
  /// Adds or updates a guard. A new guard gets a link.
  void Learn(const gpMember& aMember,
             bool aOnRoster,
             gpTime aNow,
             gpEffects& aOut);
  void SetLink(gpGuardView& aGuard, gpLinkId aLink, gpEffects& aOut);
  /// Forgets guards that left and have no link and no open attempts.
  void ForgetRemoved(gpEffects& aOut);
  /// Requests the removal of guards that were unreachable for too long.
  void RemoveUnreachable(gpTime aNow, gpEffects& aOut);
  void RequestRemoval(const std::vector<gpGuardView*>& aGuards,
                      gpTime aNow,
                      gpEffects& aOut);

  gpTimings timings_;
  const gpLinkTable& links_;
  gpGuardDirectory& guards_;
  gpEntryDispatch& dispatch_;
  std::set<gpDrain> drains_;
};

#pragma once

#include <vector>

#include "gpConfiguration.h"
#include "gpEffect.h"
#include "gpGuardDirectory.h"
#include "gpIds.h"
#include "gpLinkBook.h"
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
                    const gpLinkBook& aLinks,
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
  void Learn(const gpMember& aMember,
             bool aOnRoster,
             gpTime aNow,
             gpEffects& aOut);
  void Attach(gpGuardView& aGuard, gpLinkId aLink, gpEffects& aOut);
  void ForgetRemoved(gpEffects& aOut);
  void RemoveUnreachable(gpTime aNow, gpEffects& aOut);
  void AskRemoval(const std::vector<gpGuardView*>& aGuards,
                  gpTime aNow,
                  gpEffects& aOut);

  gpTimings timings_;
  const gpLinkBook& links_;
  gpGuardDirectory& guards_;
  gpEntryDispatch& dispatch_;
  std::set<gpDrain> drains_;
};

#pragma once

#include <functional>
#include <string>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpTimerService.h"

/** \class gpTargetAnnouncer
 * \brief Announces a target to its local guard every second.
 */
class gpTargetAnnouncer
{
public:
  /// aBody is the body of each announcement.
  gpTargetAnnouncer(gpTimerService& aTimers,
                    gpHttpClient& aClient,
                    gpAddress aGuard,
                    std::string aBody);

  /// Sends an announcement and schedules the next one.
  void Announce();
  /// Notifies the guard that the target is leaving. The handler is called when
  /// the guard has responded or the request has failed or timed out.
  void Leave(std::function<void()> aLeft);

private:
  gpTimerService& timers_;
  gpHttpClient& client_;
  gpAddress guard_;
  std::string body_;
  gpTimerId next_;
};

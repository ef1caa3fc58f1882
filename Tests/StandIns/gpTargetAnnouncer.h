#pragma once

#include <functional>
#include <string>

#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpTimerService.h"

/** \class gpTargetAnnouncer
 * \brief Announces a target to the guard beside it, every second.
 */
class gpTargetAnnouncer
{
public:
  /// aBody is sent with each announcement.
  gpTargetAnnouncer(gpTimerService& aTimers,
                    gpHttpClient& aClient,
                    gpAddress aGuard,
                    std::string aBody);

  void Announce();
  /// Tells the guard that the target leaves. The handler is called when the
  /// guard has answered, or doesn't.
  void Leave(std::function<void()> aLeft);

private:
  gpTimerService& timers_;
  gpHttpClient& client_;
  gpAddress guard_;
  std::string body_;
  gpTimerId next_;
};

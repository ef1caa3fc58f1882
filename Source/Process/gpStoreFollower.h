#pragma once

#include <functional>

#include "gpStorePort.h"
#include "gpTimerService.h"

/** \class gpStoreFollower
 * \brief Follows one topic of the store: first the newest record of each key,
 * then each new one as it comes.
 *
 * Calls that fail are repeated after a pause that grows and is jittered, so
 * that the store isn't flooded when it comes back.
 */
class gpStoreFollower
{
public:
  struct Handlers
  {
    std::function<void(const gpStoreRecord&)> record_;
    /// The store became reachable or unreachable.
    std::function<void(const absl::Status&)> health_;
  };

  gpStoreFollower(gpTimerService& aTimers,
                  gpStorePort& aStore,
                  gpStoreTopic aTopic,
                  Handlers aHandlers);

  void Start() { ReadNewest(); }

private:
  void ReadNewest();
  void ReadOn();
  void OnPage(const absl::StatusOr<gpStorePage>& aPage);
  void RetryLater(const absl::Status& aStatus);

  gpTimerService& timers_;
  gpStorePort& store_;
  gpStoreTopic topic_;
  Handlers handlers_;
  gpLogOffset next_;
  bool hasNewest_ = false;
  bool isCurrent_ = false;
  bool wasTold_ = false;
  int failures_ = 0;
};

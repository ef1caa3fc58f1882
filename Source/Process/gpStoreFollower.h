#pragma once

#include <functional>

#include "gpStorePort.h"
#include "gpTimerService.h"

/** \class gpStoreFollower
 * \brief Reads one topic of the store: first the newest record of each key,
 * then each new record as it's written.
 *
 * Failed calls are repeated after a pause with exponential growth and jitter,
 * so that the store isn't overloaded when it becomes available again.
 */
class gpStoreFollower
{
public:
  struct Handlers
  {
    std::function<void(const gpStoreRecord&)> record_;
    /// The store became reachable (ok) or unreachable.
    std::function<void(const absl::Status&)> health_;
    /// A record can't be read (BadRecord); those beside it are passed on.
    std::function<void(const absl::Status&)> badRecord_;
  };

  gpStoreFollower(gpTimerService& aTimers,
                  gpStorePort& aStore,
                  gpStoreTopic aTopic,
                  Handlers aHandlers);

  void Start() { ReadNewest(); }

private:
  void ReadNewest();
  void ReadNext();
  void OnPage(const absl::StatusOr<gpStorePage>& aPage);
  void RetryLater(const absl::Status& aStatus);

  gpTimerService& timers_;
  gpStorePort& store_;
  gpStoreTopic topic_;
  Handlers handlers_;
  gpLogOffset next_;
  bool hasNewest_ = false;
  bool isReachable_ = false;
  bool isHealthReported_ = false;
  int failures_ = 0;
};

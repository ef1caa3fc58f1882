#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "gpStrongType.h"
#include "gpTime.h"

class gpEventLoop;

using gpTimerId = gpStrongType<struct gpTimerIdTag, std::uint64_t>;

/** \class gpTimerService
 * \brief Calls handlers at given times, on the loop's thread.
 */
class gpTimerService
{
public:
  explicit gpTimerService(gpEventLoop& aLoop);
  ~gpTimerService();
  gpTimerService(const gpTimerService&) = delete;
  gpTimerService& operator=(const gpTimerService&) = delete;

  /// Calls the handler once, not before the given time and never from inside
  /// this call.
  gpTimerId Subscribe(gpTime aWhen, std::function<void()> aHandler);
  /// Drops a subscription: its handler won't be called. Ids that are unknown or
  /// whose handler has been called are ignored.
  void Cancel(gpTimerId aTimer);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

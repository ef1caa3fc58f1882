#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "gpStrongType.h"
#include "gpTime.h"

class gpEventLoop;

using gpTimerId = gpStrongType<struct gpTimerIdTag, std::uint64_t>;

/** \class gpTimerService
 * \brief Calls its subscribers when their time has come.
 */
class gpTimerService
{
public:
  explicit gpTimerService(gpEventLoop& aLoop);
  ~gpTimerService();
  gpTimerService(const gpTimerService&) = delete;
  gpTimerService& operator=(const gpTimerService&) = delete;

  /// Calls the handler once, at the time or soon after it.
  gpTimerId Subscribe(gpTime aWhen, std::function<void()> aHandler);
  /// The handler won't be called any more. Unknown ids are ignored.
  void Cancel(gpTimerId aTimer);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

#pragma once

#include <functional>
#include <memory>

#include "gpTime.h"

/** \class gpEventLoop
 * \brief The one thread of a process on which all events are handled.
 *
 * All other classes of this folder call their handlers on this thread, and
 * are to be called on it, except where they say otherwise.
 */
class gpEventLoop
{
public:
  gpEventLoop();
  ~gpEventLoop();
  gpEventLoop(const gpEventLoop&) = delete;
  gpEventLoop& operator=(const gpEventLoop&) = delete;

  /// Runs until Stop is called.
  void Run();
  /// Makes Run return soon. Any thread may call it.
  void Stop();
  /// Calls the task on the loop's thread later. Any thread may call it.
  void Post(std::function<void()> aTask);
  /// Calls the handler once, on SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> aHandler);
  /// Calls the handler on each SIGHUP.
  void OnReload(std::function<void()> aHandler);
  /// The local monotonic time, which goes on while the machine is suspended.
  static gpTime Now();

  /// The Asio context, for classes of this folder.
  struct Context;
  Context& GetContext() { return *context_; }

private:
  std::unique_ptr<Context> context_;
};

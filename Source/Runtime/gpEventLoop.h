#pragma once

#include <functional>
#include <memory>

#include "gpTime.h"

/** \class gpEventLoop
 * \brief The event loop of a process: handles all its events on one thread.
 *
 * All other classes of this folder call their handlers on the thread that calls
 * Run, and must be called on it, except where they say otherwise.
 */
class gpEventLoop
{
public:
  gpEventLoop();
  ~gpEventLoop();
  gpEventLoop(const gpEventLoop&) = delete;
  gpEventLoop& operator=(const gpEventLoop&) = delete;

  /// Handles events until Stop is called; may be called again afterwards.
  void Run();
  /// Makes Run return after the handler that is running. Thread-safe.
  void Stop();
  /// Queues the task, to be called on the loop's thread and never from inside
  /// this call. Thread-safe.
  void Post(std::function<void()> aTask);
  /// Calls the handler once, on SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> aHandler);
  /// Calls the handler on each SIGHUP.
  void OnReload(std::function<void()> aHandler);
  /// The monotonic time of this machine, which also advances while the machine
  /// is suspended.
  static gpTime Now();

  /// The Asio state, for the classes of this folder.
  struct Context;
  Context& GetContext() { return *context_; }

private:
  std::unique_ptr<Context> context_;
};

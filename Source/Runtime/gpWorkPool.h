#pragma once

#include <functional>
#include <memory>

class gpEventLoop;

/** \class gpWorkPool
 * \brief Runs work that takes long on threads of its own, by oneTBB.
 */
class gpWorkPool
{
public:
  /// At most so many pieces of work run at once, at least 1.
  gpWorkPool(gpEventLoop& aLoop, int aConcurrency);
  /// Waits for all work; what it leaves to be done on the loop is still called.
  ~gpWorkPool();
  gpWorkPool(const gpWorkPool&) = delete;
  gpWorkPool& operator=(const gpWorkPool&) = delete;

  /// Runs aWork on a thread of the pool, then calls aDone on the loop's
  /// thread. aWork must not throw.
  void Submit(std::function<void()> aWork, std::function<void()> aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

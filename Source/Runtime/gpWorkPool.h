#pragma once

#include <functional>
#include <memory>

class gpEventLoop;

/** \class gpWorkPool
 * \brief Runs long work on a pool of threads of its own, with oneTBB.
 */
class gpWorkPool
{
public:
  /// aConcurrency: how many pieces of work may run at once, at least 1.
  gpWorkPool(gpEventLoop& aLoop, int aConcurrency);
  /// Waits for all submitted work. The aDone callbacks are still called by the
  /// loop afterwards.
  ~gpWorkPool();
  gpWorkPool(const gpWorkPool&) = delete;
  gpWorkPool& operator=(const gpWorkPool&) = delete;

  /// Runs aWork on a thread of the pool, then calls aDone on the loop's thread.
  /// aWork must not throw.
  void Submit(std::function<void()> aWork, std::function<void()> aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

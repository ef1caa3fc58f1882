#define BOOST_TEST_MODULE gpWorkPool
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <latch>
#include <optional>
#include <thread>

#include "gpEventLoop.h"
#include "gpTestLoop.h"
#include "gpWorkPool.h"

BOOST_AUTO_TEST_CASE(WorkRunsOnAPoolThreadAndCallsBackOnTheLoop)
{
  gpEventLoop loop;
  gpWorkPool pool(loop, 2);
  const std::thread::id self = std::this_thread::get_id();
  std::thread::id worker;
  std::thread::id finisher;
  pool.Submit([&] { worker = std::this_thread::get_id(); },
              [&] { finisher = std::this_thread::get_id(); });
  gpRunUntil(loop, [&] { return finisher != std::thread::id(); });
  BOOST_TEST((worker != self));
  BOOST_TEST((worker != std::thread::id()));
  BOOST_TEST((finisher == self));
}

BOOST_AUTO_TEST_CASE(AllWorkRunsWithinTheConcurrencyLimit)
{
  constexpr int kConcurrency = 3;
  constexpr int kPieces = 500;
  gpEventLoop loop;
  gpWorkPool pool(loop, kConcurrency);
  std::atomic<int> running = 0;
  std::atomic<int> most = 0;
  int done = 0;
  for (int i = 0; i < kPieces; ++i) {
    pool.Submit(
      [&] {
        const int now = ++running;
        int seen = most;
        while (now > seen && !most.compare_exchange_weak(seen, now)) {
        }
        std::this_thread::yield();
        --running;
      },
      [&] { ++done; });
  }
  gpRunUntil(loop, [&] { return done == kPieces; });
  BOOST_TEST(most <= kConcurrency);
}

BOOST_AUTO_TEST_CASE(WorkRunsInParallel)
{
  gpEventLoop loop;
  gpWorkPool pool(loop, 2);
  std::latch both(2);
  int done = 0;
  for (int i = 0; i < 2; ++i) {
    pool.Submit([&] { both.arrive_and_wait(); }, [&] { ++done; });
  }
  gpRunUntil(loop, [&] { return done == 2; });
  BOOST_TEST(done == 2);
}

BOOST_AUTO_TEST_CASE(DestructionOfThePoolWaitsForItsWork)
{
  gpEventLoop loop;
  std::optional<gpWorkPool> pool(std::in_place, loop, 1);
  std::latch begin(1);
  bool worked = false;
  bool done = false;
  pool->Submit(
    [&] {
      begin.wait();
      worked = true;
    },
    [&] { done = true; });
  begin.count_down();
  pool.reset();
  BOOST_TEST(worked);
  gpRunUntil(loop, [&] { return done; });
}

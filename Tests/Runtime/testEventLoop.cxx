#define BOOST_TEST_MODULE gpEventLoop
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>
#include <vector>

#include "gpEventLoop.h"
#include "gpTestLoop.h"
#include "gpTimerService.h"

BOOST_AUTO_TEST_CASE(PostedTasksRunInOrderUntilStop)
{
  gpEventLoop loop;
  std::vector<int> seen;
  loop.Post([&]() { seen.push_back(1); });
  loop.Post([&]() {
    seen.push_back(2);
    loop.Post([&]() {
      seen.push_back(3);
      loop.Stop();
    });
  });
  loop.Run();
  BOOST_TEST((seen == std::vector<int>{ 1, 2, 3 }));
  loop.Post([&]() { loop.Stop(); });
  loop.Run(); // a stopped loop runs again
}

BOOST_AUTO_TEST_CASE(OtherThreadsMayPost)
{
  gpEventLoop loop;
  std::thread::id ranOn;
  std::thread other([&]() {
    loop.Post([&]() {
      ranOn = std::this_thread::get_id();
      loop.Stop();
    });
  });
  loop.Run();
  other.join();
  BOOST_TEST((ranOn == std::this_thread::get_id()));
}

BOOST_AUTO_TEST_CASE(TerminationIsHandled)
{
  gpEventLoop loop;
  int calls = 0;
  loop.OnTerminate([&]() {
    ++calls;
    loop.Stop();
  });
  std::raise(SIGTERM);
  loop.Run();
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(TimersFireInOrderOfTimeAndCreation)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  std::vector<int> seen;
  const gpTime now = gpEventLoop::Now();
  const auto append = [&seen](int aNumber) {
    return [&seen, aNumber]() { seen.push_back(aNumber); };
  };
  timers.Subscribe(gpTime::max(), append(9));
  timers.Subscribe(now + gpMillis(2), append(4));
  timers.Subscribe(now + gpMillis(1), append(2));
  timers.Subscribe(now + gpMillis(1), append(3));
  timers.Subscribe(now - gpMillis(5), append(1));
  gpRunUntil(loop, [&]() { return seen.size() == 4; });
  BOOST_TEST((seen == std::vector<int>{ 1, 2, 3, 4 }));
  BOOST_TEST((gpEventLoop::Now() >= now + gpMillis(2)));
}

BOOST_AUTO_TEST_CASE(CancelledTimersDontFire)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  const gpTime now = gpEventLoop::Now();
  bool isCancelledFired = false;
  bool isLastFired = false;
  const auto fail = [&]() { isCancelledFired = true; };
  const gpTimerId first = timers.Subscribe(now, fail);
  gpTimerId third;
  // Both are due at once; the second cancels the third.
  timers.Subscribe(now, [&]() { timers.Cancel(third); });
  third = timers.Subscribe(now, fail);
  timers.Cancel(first);
  timers.Cancel(first);
  timers.Cancel(gpTimerId(12345));
  timers.Subscribe(now + gpMillis(1), [&]() { isLastFired = true; });
  gpRunUntil(loop, [&]() { return isLastFired; });
  BOOST_TEST(!isCancelledFired);
}

BOOST_AUTO_TEST_CASE(HandlersMaySubscribe)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  int rounds = 0;
  std::function<void()> again = [&]() {
    if (++rounds < 100) {
      timers.Subscribe(gpEventLoop::Now(), again);
    }
  };
  again();
  gpRunUntil(loop, [&]() { return rounds == 100; });
  BOOST_TEST(rounds == 100);
}

BOOST_AUTO_TEST_CASE(TimersEndWithTheirService)
{
  gpEventLoop loop;
  bool isFired = false;
  {
    gpTimerService timers(loop);
    timers.Subscribe(gpEventLoop::Now(), [&]() { isFired = true; });
  }
  gpTimerService others(loop);
  bool isDone = false;
  others.Subscribe(gpEventLoop::Now() + gpMillis(1), [&]() { isDone = true; });
  gpRunUntil(loop, [&]() { return isDone; });
  BOOST_TEST(!isFired);
}

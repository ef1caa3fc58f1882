#include "gpEventLoop.h"

#include <chrono>
#include <csignal>
#include <ctime>
#include <utility>

#include <boost/asio/post.hpp>

#include "gpEventLoopContext.h"

gpEventLoop::gpEventLoop()
  : context_(std::make_unique<Context>())
{
}

gpEventLoop::~gpEventLoop() = default;

void
gpEventLoop::Run()
{
  context_->io_.run();
  context_->io_.restart();
}

void
gpEventLoop::Stop()
{
  context_->io_.stop();
}

void
gpEventLoop::Post(std::function<void()> aTask)
{
  boost::asio::post(context_->io_, std::move(aTask));
}

void
gpEventLoop::OnTerminate(std::function<void()> aHandler)
{
  context_->signals_.add(SIGTERM);
  context_->signals_.add(SIGINT);
  context_->signals_.async_wait(
    [handler = std::move(aHandler)](const boost::system::error_code& aError,
                                    int /*aSignal*/) {
      if (!aError) {
        handler();
      }
    });
}

void
gpEventLoop::OnReload(std::function<void()> aHandler)
{
  context_->reloadSignals_.add(SIGHUP);
  context_->AwaitReload(std::move(aHandler));
}

gpTime
gpEventLoop::Now()
{
  // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME advances while the machine
  // is suspended, so that leases that expire during a suspension are recognized
  // as expired.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return gpTime(std::chrono::seconds(now.tv_sec) +
                std::chrono::duration_cast<gpMicros>(
                  std::chrono::nanoseconds(now.tv_nsec)));
}

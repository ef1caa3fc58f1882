#include "gpSettingsWatch.h"

#include <utility>

#include "gpDaemonOptions.h"
#include "gpEventLoop.h"
#include "gpTimerService.h"

namespace {

/// A change without a signal is in force after this time at most.
constexpr gpMillis kPeriod{ 1000 };

} // namespace

gpSettingsWatch::gpSettingsWatch(
  gpEventLoop& aLoop,
  gpTimerService& aTimers,
  std::string aFile,
  std::string aText,
  std::function<void(const std::string&)> aChanged)
  : timers_(aTimers)
  , file_(std::move(aFile))
  , text_(std::move(aText))
  , changed_(std::move(aChanged))
{
  aLoop.OnReload([this] { Look(); });
  LookLater();
}

void
gpSettingsWatch::LookLater()
{
  timers_.Subscribe(gpEventLoop::Now() + kPeriod, [this] {
    Look();
    LookLater();
  });
}

void
gpSettingsWatch::Look()
{
  std::string text;
  // A file that can't be read is reported, and the settings in use stay.
  if (gpReadFile(file_, text) && text != text_) {
    text_ = text;
    changed_(text_);
  }
}

#include "gpSettingsWatch.h"

#include <utility>

#include "gpDaemonOptions.h"
#include "gpEventLoop.h"
#include "gpTimerService.h"

namespace {

/// Without a signal, a change is noticed after this time at the latest.
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
  aLoop.OnReload([this] { CheckFile(); });
  ScheduleCheck();
}

void
gpSettingsWatch::ScheduleCheck()
{
  timers_.Subscribe(gpEventLoop::Now() + kPeriod, [this] {
    CheckFile();
    ScheduleCheck();
  });
}

void
gpSettingsWatch::CheckFile()
{
  std::string text;
  // If the file can't be read, gpReadFile prints an error, and the settings in
  // use are kept.
  if (gpReadFile(file_, text) && text != text_) {
    text_ = text;
    changed_(text_);
  }
}

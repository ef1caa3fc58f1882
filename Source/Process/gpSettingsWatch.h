#pragma once

#include <functional>
#include <string>

class gpEventLoop;
class gpTimerService;

/** \class gpSettingsWatch
 * \brief Detects changes of the settings file: reads it on SIGHUP, and also
 * periodically without a signal.
 */
class gpSettingsWatch
{
public:
  /// aText is the content in use. aChanged is called with each new content.
  gpSettingsWatch(gpEventLoop& aLoop,
                  gpTimerService& aTimers,
                  std::string aFile,
                  std::string aText,
                  std::function<void(const std::string&)> aChanged);

private:
  void ScheduleCheck();
  void CheckFile();

  gpTimerService& timers_;
  std::string file_;
  std::string text_;
  std::function<void(const std::string&)> changed_;
};

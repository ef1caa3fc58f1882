#pragma once

#include <functional>
#include <string>

class gpEventLoop;
class gpTimerService;

/** \class gpSettingsWatch
 * \brief Notices that the settings file has changed: on SIGHUP, and without a
 * signal by reading it from time to time.
 */
class gpSettingsWatch
{
public:
  /// aChanged is called with the new text. aText is the one that is in use.
  gpSettingsWatch(gpEventLoop& aLoop,
                  gpTimerService& aTimers,
                  std::string aFile,
                  std::string aText,
                  std::function<void(const std::string&)> aChanged);

private:
  void LookLater();
  void Look();

  gpTimerService& timers_;
  std::string file_;
  std::string text_;
  std::function<void(const std::string&)> changed_;
};

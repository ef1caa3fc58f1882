#pragma once

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "gpIds.h"
#include "gpTestEventLog.h"
#include "gpTime.h"

/// Generous, as a test waits for events and never measures time.
constexpr gpMillis kTestPatience(20000);

/** \class gpTestCommand
 * \brief How a process is started.
 */
struct gpTestCommand
{
  /// Names the process and its files; unique in its folder.
  std::string name_;
  /// Name of a program of the build tree, such as "gp-stand-in-log".
  std::string program_;
  std::vector<std::string> arguments_{};
  /// Holds the files of the process.
  std::filesystem::path folder_{};
  /// Where the process writes its events; empty: to its standard output.
  std::filesystem::path eventLog_{};
};

/** \class gpTestProcess
 * \brief A real process of the build tree. It's killed at the end of its scope,
 * and also when the thread that started it ends.
 */
class gpTestProcess
{
public:
  explicit gpTestProcess(gpTestCommand aCommand);
  ~gpTestProcess();
  gpTestProcess(const gpTestProcess&) = delete;
  gpTestProcess& operator=(const gpTestProcess&) = delete;

  /// Starts the process, again if it has exited.
  void Start();
  /// The arguments of the next start.
  void SetArguments(std::vector<std::string> aArguments);
  pid_t Pid() const { return pid_; }
  const std::string& Name() const { return command_.name_; }
  bool IsRunning();

  /// SIGTERM.
  void Terminate();
  /// SIGKILL, and waits for the end.
  void Kill();
  /// SIGSTOP.
  void Freeze();
  /// SIGCONT.
  void Thaw();
  /// The exit code, or 128 and the signal's number. Not set if it still runs.
  std::optional<int> WaitForExit(gpMillis aPatience = kTestPatience);

  /// Later calls of WaitForEvent and CountEvents pass over the events so far.
  void Mark();
  /// The first event that matches, since the start or the mark. Throws
  /// gpTestFailure if it doesn't come, or the process exits without it.
  gpTestEvent WaitForEvent(
    const std::function<bool(const gpTestEvent&)>& aMatches,
    gpMillis aPatience = kTestPatience);
  gpTestEvent WaitForEvent(const std::string& aKind,
                           const gpTestFields& aFields = {},
                           gpMillis aPatience = kTestPatience);
  std::size_t CountEvents(const std::string& aKind,
                          const gpTestFields& aFields = {});
  /// All events of the process since its last start.
  const std::vector<gpTestEvent>& GetEvents();
  /// Where the process listens: "service" or "control" of a stand-in, "http"
  /// or "links" of an entry or guard. Waits for it.
  gpAddress Address(const std::string& aPurpose);

private:
  void Signal(int aSignal) const;
  void Reap(bool aWait);
  std::filesystem::path FileWith(const std::string& aSuffix) const;

  gpTestCommand command_;
  gpTestEventLog events_;
  std::size_t mark_ = 0;
  pid_t pid_ = 0;
  std::optional<int> exit_;
};

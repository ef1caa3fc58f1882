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

/// Longest wait for a condition. Generous, because tests wait for events and
/// don't measure time.
constexpr gpMillis kTestTimeout(20000);

/** \class gpTestCommand
 * \brief How a process is started.
 */
struct gpTestCommand
{
  /// Name of the process and stem of its file names; unique in the folder.
  std::string name_;
  /// Name of a program of the build tree, such as "gp-stand-in-log".
  std::string program_;
  std::vector<std::string> arguments_{};
  /// Folder for the files of the process.
  std::filesystem::path folder_{};
  /// File to which the process writes events; empty: its standard output.
  std::filesystem::path eventLog_{};
};

/** \class gpTestProcess
 * \brief A process that runs a program of the build tree. It's killed by the
 * destructor, and also when the thread that started it ends.
 */
class gpTestProcess
{
public:
  explicit gpTestProcess(gpTestCommand aCommand);
  ~gpTestProcess();
  gpTestProcess(const gpTestProcess&) = delete;
  gpTestProcess& operator=(const gpTestProcess&) = delete;

  /// Starts the process, also again after it has exited.
  void Start();
  /// Sets the arguments of the next start.
  void SetArguments(std::vector<std::string> aArguments);
  pid_t Pid() const { return pid_; }
  const std::string& Name() const { return command_.name_; }
  bool IsRunning();

  /// Sends SIGTERM.
  void Terminate();
  /// Sends SIGKILL and waits for the exit.
  void Kill();
  /// Sends SIGSTOP.
  void Freeze();
  /// Sends SIGCONT.
  void Thaw();
  /// The exit code, or 128 plus the signal's number. Not set if the process is
  /// still running at the end of the wait.
  std::optional<int> WaitForExit(gpMillis aTimeout = kTestTimeout);

  /// Later calls of WaitForEvent and CountEvents skip the events up to now.
  void Mark();
  /// The first matching event since the start or the last Mark. Throws
  /// gpTestFailure if there is none in time or the process exits without it.
  gpTestEvent WaitForEvent(
    const std::function<bool(const gpTestEvent&)>& aMatches,
    gpMillis aTimeout = kTestTimeout);
  gpTestEvent WaitForEvent(const std::string& aKind,
                           const gpTestFields& aFields = {},
                           gpMillis aTimeout = kTestTimeout);
  std::size_t CountEvents(const std::string& aKind,
                          const gpTestFields& aFields = {});
  /// All events of the process since its last start.
  const std::vector<gpTestEvent>& GetEvents();
  /// The address on which the process listens for a purpose, such as "service"
  /// or "control" of a stand-in, "http" or "links" of an entry or guard. Waits
  /// until the process has reported it.
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

#include "gpTestProcess.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "gpTestFailure.h"

namespace {

using Clock = std::chrono::steady_clock;

constexpr gpMillis kPollPeriod(5);
constexpr int kSignalExitBase = 128;
constexpr int kExecFailed = 127;

std::filesystem::path
ProgramFolder()
{
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string
ReadFile(const std::filesystem::path& aFile)
{
  std::ostringstream text;
  text << std::ifstream(aFile).rdbuf();
  return text.str();
}

void
RedirectTo(const char* aFile, int aDescriptor)
{
  const int file = open(aFile, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, aDescriptor);
}

/// Runs in the child after the fork, where only system calls are safe.
[[noreturn]] void
Execute(char* const* aArguments,
        const char* aOutput,
        const char* aErrors,
        pid_t aParent)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() == aParent) {
    RedirectTo(aOutput, STDOUT_FILENO);
    RedirectTo(aErrors, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(aArguments[0], aArguments);
  }
  _exit(kExecFailed);
}

int
ExitCodeOf(int aStatus)
{
  return WIFSIGNALED(aStatus) ? kSignalExitBase + WTERMSIG(aStatus)
                              : WEXITSTATUS(aStatus);
}

/// Checks the condition until it's true; false if the time is up before.
bool
Poll(const std::function<bool()>& aCondition, gpMillis aTimeout)
{
  const auto end = Clock::now() + aTimeout;
  while (!aCondition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

} // namespace

gpTestProcess::gpTestProcess(gpTestCommand aCommand)
  : command_(std::move(aCommand))
  , events_(command_.eventLog_.empty() ? FileWith(".out") : command_.eventLog_)
{
}

gpTestProcess::~gpTestProcess()
{
  Kill();
}

void
gpTestProcess::Start()
{
  if (IsRunning()) {
    throw gpTestFailure(command_.name_ + " is already running");
  }
  events_.SkipToEnd();
  mark_ = 0;
  exit_.reset();
  const std::string program = (ProgramFolder() / command_.program_).string();
  std::vector<char*> arguments{ const_cast<char*>(program.c_str()) };
  for (std::string& argument : command_.arguments_) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const std::string output = FileWith(".out").string();
  const std::string errors = FileWith(".err").string();
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    Execute(arguments.data(), output.c_str(), errors.c_str(), parent);
  }
  if (pid_ < 0) {
    pid_ = 0;
    throw gpTestFailure("can't start " + program);
  }
}

void
gpTestProcess::SetArguments(std::vector<std::string> aArguments)
{
  command_.arguments_ = std::move(aArguments);
}

bool
gpTestProcess::IsRunning()
{
  Reap(false);
  return pid_ != 0;
}

void
gpTestProcess::Terminate()
{
  Signal(SIGTERM);
}

void
gpTestProcess::Kill()
{
  Signal(SIGKILL);
  Reap(true);
}

void
gpTestProcess::Freeze()
{
  Signal(SIGSTOP);
}

void
gpTestProcess::Thaw()
{
  Signal(SIGCONT);
}

std::optional<int>
gpTestProcess::WaitForExit(gpMillis aTimeout)
{
  Poll([this] { return !IsRunning(); }, aTimeout);
  return exit_;
}

void
gpTestProcess::Mark()
{
  events_.Poll();
  mark_ = events_.GetEvents().size();
}

gpTestEvent
gpTestProcess::WaitForEvent(
  const std::function<bool(const gpTestEvent&)>& aMatches,
  gpMillis aTimeout)
{
  gpTestEvent found;
  const auto find = [&] {
    events_.Poll();
    const auto& events = events_.GetEvents();
    const auto event =
      std::find_if(events.begin() + static_cast<std::ptrdiff_t>(mark_),
                   events.end(),
                   aMatches);
    if (event != events.end()) {
      found = *event;
    }
    return event != events.end();
  };
  // Searches once more after an exit: the process may have written the event
  // after the last search.
  const bool ended = Poll([&] { return find() || !IsRunning(); }, aTimeout);
  if (!ended || !find()) {
    throw gpTestFailure(command_.name_ + ": expected event was not written; " +
                        ReadFile(FileWith(".err")));
  }
  return found;
}

gpTestEvent
gpTestProcess::WaitForEvent(const std::string& aKind,
                            const gpTestFields& aFields,
                            gpMillis aTimeout)
{
  try {
    return WaitForEvent(
      [&](const gpTestEvent& aEvent) { return aEvent.Is(aKind, aFields); },
      aTimeout);
  } catch (const gpTestFailure& failure) {
    throw gpTestFailure(std::string(failure.what()) + " (" + aKind + ")");
  }
}

std::size_t
gpTestProcess::CountEvents(const std::string& aKind,
                           const gpTestFields& aFields)
{
  events_.Poll();
  const auto& events = events_.GetEvents();
  return static_cast<std::size_t>(std::count_if(
    events.begin() + static_cast<std::ptrdiff_t>(mark_),
    events.end(),
    [&](const gpTestEvent& aEvent) { return aEvent.Is(aKind, aFields); }));
}

const std::vector<gpTestEvent>&
gpTestProcess::GetEvents()
{
  events_.Poll();
  return events_.GetEvents();
}

gpAddress
gpTestProcess::Address(const std::string& aPurpose)
{
  const std::size_t mark = std::exchange(mark_, 0);
  const std::string prefix = aPurpose + " ";
  const gpTestEvent event = WaitForEvent([&](const gpTestEvent& aEvent) {
    return aEvent.Is("listening", { { "purpose", aPurpose } }) ||
           (aEvent.Is("listening") &&
            aEvent.Get("detail").rfind(prefix, 0) == 0);
  });
  mark_ = mark;
  const std::string detail = event.Get("detail");
  const bool isPrefixed = detail.rfind(prefix, 0) == 0;
  return gpAddress(isPrefixed ? detail.substr(prefix.size()) : detail);
}

void
gpTestProcess::Signal(int aSignal) const
{
  if (pid_ != 0) {
    kill(pid_, aSignal);
  }
}

void
gpTestProcess::Reap(bool aWait)
{
  int status = 0;
  if (pid_ != 0 && waitpid(pid_, &status, aWait ? 0 : WNOHANG) == pid_) {
    pid_ = 0;
    exit_ = ExitCodeOf(status);
  }
}

std::filesystem::path
gpTestProcess::FileWith(const std::string& aSuffix) const
{
  return command_.folder_ / (command_.name_ + aSuffix);
}

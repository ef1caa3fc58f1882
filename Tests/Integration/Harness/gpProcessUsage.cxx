#include "gpProcessUsage.h"

#include <filesystem>
#include <fstream>
#include <string>

#include <sys/resource.h>

#include "gpTestFailure.h"
#include "gpTestProcess.h"

namespace {

constexpr std::size_t kBytesOfKilobyte = 1024;

std::filesystem::path
FolderOf(const gpTestProcess& aProcess)
{
  return "/proc/" + std::to_string(aProcess.Pid());
}

/// A field of the process's status file that counts kilobytes, in bytes.
std::size_t
ReadMemory(const gpTestProcess& aProcess, const std::string& aField)
{
  std::ifstream status(FolderOf(aProcess) / "status");
  std::string word;
  while (status >> word) {
    if (word == aField) {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * kBytesOfKilobyte;
    }
  }
  throw gpTestFailure(aProcess.Name() + " isn't running");
}

} // namespace

std::size_t
gpMemoryOf(const gpTestProcess& aProcess)
{
  return ReadMemory(aProcess, "VmRSS:");
}

std::size_t
gpPeakMemoryOf(const gpTestProcess& aProcess)
{
  return ReadMemory(aProcess, "VmHWM:");
}

std::size_t
gpOpenDescriptorsOf(const gpTestProcess& aProcess)
{
  std::error_code error;
  std::filesystem::directory_iterator open(FolderOf(aProcess) / "fd", error);
  std::size_t count = 0;
  for (; !error && open != std::filesystem::directory_iterator();
       open.increment(error)) {
    ++count;
  }
  return count;
}

void
gpRaiseDescriptorLimit()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

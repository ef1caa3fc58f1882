#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include <absl/status/status.h>

/** \class gpTargetJournal
 * \brief Counts the starts of each task and records them in a file.
 *
 * The file has one line per start, "<submission>/<task>". It is written before
 * the task runs, so that the starts are known even if the target is killed.
 */
class gpTargetJournal
{
public:
  /// Opens the file for appending. Starts before this call are not written.
  absl::Status Open(const std::string& aFile);
  void Record(const std::string& aKey);
  const std::map<std::string, std::uint64_t>& GetStarts() const
  {
    return starts_;
  }
  std::uint64_t Total() const { return total_; }

private:
  std::ofstream file_;
  std::map<std::string, std::uint64_t> starts_;
  std::uint64_t total_ = 0;
};

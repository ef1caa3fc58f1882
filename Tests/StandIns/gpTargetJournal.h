#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include <absl/status/status.h>

/** \class gpTargetJournal
 * \brief Counts the starts of each task, and writes them to a file.
 *
 * The file has one line for each start, "<submission>/<task>", written before
 * the task runs, so it also tells what a killed target had started.
 */
class gpTargetJournal
{
public:
  /// Appends to the file from now on.
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

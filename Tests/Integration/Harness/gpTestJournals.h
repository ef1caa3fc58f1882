#pragma once

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

/** \class gpTestJournals
 * \brief Counts the starts of tasks at all targets of a test.
 *
 * The counts come from files that the targets write before they run a task,
 * so those of killed targets are in them.
 */
class gpTestJournals
{
public:
  void Add(std::filesystem::path aFile);
  /// Starts by "<submission>/<task>".
  std::map<std::string, std::size_t> Read() const;
  /// All starts in the file that was added as the aIndex-th, from 0.
  std::size_t CountIn(std::size_t aIndex) const;

private:
  std::vector<std::filesystem::path> files_;
};

#pragma once

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

/** \class gpTestJournals
 * \brief Counts the starts of tasks at all targets of a test.
 *
 * Each target appends a line to its journal file before it runs a task, so
 * starts at targets that were killed later are counted too.
 */
class gpTestJournals
{
public:
  void Add(std::filesystem::path aFile);
  /// Numbers of starts by "<submission>/<task>".
  std::map<std::string, std::size_t> Read() const;
  /// Number of starts in the file that was added as number aIndex, from 0.
  std::size_t CountIn(std::size_t aIndex) const;

private:
  std::vector<std::filesystem::path> files_;
};

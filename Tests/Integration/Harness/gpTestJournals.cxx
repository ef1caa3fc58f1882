#include "gpTestJournals.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

void
gpTestJournals::Add(std::filesystem::path aFile)
{
  files_.push_back(std::move(aFile));
}

std::map<std::string, std::size_t>
gpTestJournals::Read() const
{
  std::map<std::string, std::size_t> starts;
  for (const std::filesystem::path& path : files_) {
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
      ++starts[line];
    }
  }
  return starts;
}

std::size_t
gpTestJournals::CountIn(std::size_t aIndex) const
{
  std::ifstream file(files_.at(aIndex));
  return static_cast<std::size_t>(
    std::count(std::istreambuf_iterator<char>(file), {}, '\n'));
}

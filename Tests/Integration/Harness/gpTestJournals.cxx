#include "gpTestJournals.h"

#include <fstream>
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

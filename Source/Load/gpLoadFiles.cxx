#include "gpLoadFiles.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "gpError.h"
#include "gpLoadResultFile.h"

namespace {

absl::StatusOr<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return gpMakeError(gpErrorCode::Io, aFile + ": cannot be read");
  }
  return text.str();
}

absl::Status
InFile(const std::string& aFile, const absl::Status& aStatus)
{
  return gpMakeError(gpErrorCodeOf(aStatus),
                     aFile + ": " + gpErrorText(aStatus));
}

} // namespace

absl::StatusOr<gpExperiment>
gpLoadExperiment(const gpExperimentOptions& aOptions)
{
  std::string text = "{}";
  if (!aOptions.file_.empty()) {
    auto read = ReadFile(aOptions.file_);
    if (!read.ok()) {
      return read.status();
    }
    text = *std::move(read);
  }
  auto experiment = gpParseExperiment(text, aOptions.overrides_);
  if (!experiment.ok()) {
    return aOptions.file_.empty() ? experiment.status()
                                  : InFile(aOptions.file_, experiment.status());
  }
  return experiment;
}

absl::StatusOr<std::vector<gpLoadResult>>
gpLoadResultFiles(const std::vector<std::string>& aFiles)
{
  std::vector<gpLoadResult> results;
  for (const std::string& file : aFiles) {
    const auto text = ReadFile(file);
    if (!text.ok()) {
      return text.status();
    }
    auto result = gpParseLoadResult(*text);
    if (!result.ok()) {
      return InFile(file, result.status());
    }
    results.push_back(*std::move(result));
  }
  return results;
}

absl::Status
gpWriteFile(const std::string& aFile, const std::string& aContent)
{
  const std::filesystem::path folder =
    std::filesystem::path(aFile).parent_path();
  std::error_code error;
  if (!folder.empty()) {
    std::filesystem::create_directories(folder, error);
  }
  std::ofstream file(aFile, std::ios::binary | std::ios::trunc);
  file << aContent;
  file.close();
  if (error || !file) {
    return gpMakeError(gpErrorCode::Io, aFile + ": cannot be written");
  }
  return absl::OkStatus();
}

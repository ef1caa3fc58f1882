#include "gpEventLogFiles.h"

#include "gpError.h"

absl::StatusOr<gpEventLogRecords>
gpReadEventLogs(const std::vector<std::string>& aFiles, gpConsole& aConsole)
{
  gpEventLogRecords all;
  for (const std::string& name : aFiles) {
    const absl::StatusOr<gpTimelineFile> file =
      gpTimelineReader::ReadFile(name);
    if (!file.ok()) {
      return file.status();
    }
    for (const absl::Status& error : file->errors_) {
      aConsole.err_ << gpErrorText(error) << "\n";
    }
    all.unread_ += file->errors_.size();
    all.records_.insert(
      all.records_.end(), file->records_.begin(), file->records_.end());
  }
  return all;
}

#include "gpTargetJournal.h"

#include "gpError.h"

absl::Status
gpTargetJournal::Open(const std::string& aFile)
{
  file_.open(aFile, std::ios::app);
  return file_
           ? absl::OkStatus()
           : gpMakeError(gpErrorCode::Io, "cannot open for writing: " + aFile);
}

void
gpTargetJournal::Record(const std::string& aKey)
{
  ++starts_[aKey];
  ++total_;
  if (file_.is_open()) {
    // Flush each line: tests kill the process at arbitrary times.
    file_ << aKey << std::endl;
  }
}

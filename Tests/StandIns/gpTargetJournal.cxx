#include "gpTargetJournal.h"

#include "gpError.h"

absl::Status
gpTargetJournal::Open(const std::string& aFile)
{
  file_.open(aFile, std::ios::app);
  return file_ ? absl::OkStatus()
               : gpMakeError(gpErrorCode::Io, "can't write " + aFile);
}

void
gpTargetJournal::Record(const std::string& aKey)
{
  ++starts_[aKey];
  ++total_;
  if (file_.is_open()) {
    // Flushed, as the process may be killed at any moment.
    file_ << aKey << std::endl;
  }
}

#include "gpRunJournal.h"

#include <boost/json.hpp>

#include "gpError.h"

absl::Status
gpRunJournal::Open(const std::string& aFile)
{
  file_.open(aFile, std::ios::app);
  return file_
           ? absl::OkStatus()
           : gpMakeError(gpErrorCode::Io, "cannot open for writing: " + aFile);
}

void
gpRunJournal::NoteStarted(const gpRunId& aRun, gpTime aNow)
{
  Write(aRun, "started", aNow);
}

void
gpRunJournal::NoteEnds(const std::vector<gpSimEnd>& aEnds)
{
  for (const gpSimEnd& end : aEnds) {
    Write(end.run_, gpRunEndName(end.end_), end.at_);
  }
}

void
gpRunJournal::Write(const gpRunId& aRun, std::string_view aEvent, gpTime aAt)
{
  if (!file_.is_open()) {
    return;
  }
  const auto at = std::chrono::duration_cast<gpMicros>(aAt.time_since_epoch());
  // Flush each line: tests kill the process at arbitrary times.
  file_ << boost::json::serialize(
             boost::json::object{ { "task", aRun.task_ },
                                  { "number", aRun.number_ },
                                  { "event", aEvent },
                                  { "at_us", at.count() } })
        << std::endl;
}

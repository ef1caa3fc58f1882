#pragma once

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "gpSimTarget.h"

/** \class gpRunJournal
 * \brief Records the starts and ends of runs in a file, from which a test
 * learns what a worker did before it was killed.
 *
 * Each event is one line of JSON: {"task": "…", "number": 1, "event": "started"
 * | "done" | "failed" | "stopped", "at_us": 17}. at_us is the time of
 * gpEventLoop.
 */
class gpRunJournal
{
public:
  /// Opens the file for appending. Events before this call are not recorded.
  absl::Status Open(const std::string& aFile);
  void NoteStarted(const gpRunId& aRun, gpTime aNow);
  void NoteEnds(const std::vector<gpSimEnd>& aEnds);

private:
  void Write(const gpRunId& aRun, std::string_view aEvent, gpTime aAt);

  std::ofstream file_;
};

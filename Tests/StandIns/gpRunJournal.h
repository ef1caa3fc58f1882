#pragma once

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "gpSimTarget.h"

/** \class gpRunJournal
 * \brief Writes the starts and ends of runs to a file, so that it's known what
 * a killed worker did.
 *
 * One line of JSON each: {"task": "…", "number": 1, "event": "started" | "done"
 * | "failed" | "stopped", "at_us": 17}; the time is that of gpEventLoop.
 */
class gpRunJournal
{
public:
  /// Appends to the file from now on; nothing is written before.
  absl::Status Open(const std::string& aFile);
  void NoteStarted(const gpRunId& aRun, gpTime aNow);
  void NoteEnds(const std::vector<gpSimEnd>& aEnds);

private:
  void Write(const gpRunId& aRun, std::string_view aEvent, gpTime aAt);

  std::ofstream file_;
};

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpCommand.h"
#include "gpTimelineReader.h"

/** \class gpEventLogRecords
 * \brief The records of some event log files.
 */
struct gpEventLogRecords
{
  std::vector<gpTimelineRecord> records_;
  /// Number of lines that could not be read.
  std::size_t unread_ = 0;
};

/// Reads event log files. Names each line that can't be read on the error
/// stream and skips it; fails with Io if a file can't be read.
absl::StatusOr<gpEventLogRecords>
gpReadEventLogs(const std::vector<std::string>& aFiles, gpConsole& aConsole);

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpIds.h"
#include "gpMember.h"
#include "gpTimelineEvent.h"

/** \class gpTimelineRecord
 * \brief One line of an event log: an event, its time and the process that
 * logged it.
 */
struct gpTimelineRecord
{
  gpTimelineEvent event_;
  /// UTC, RFC 3339 with microseconds; sorts as text in the order of time.
  std::string time_;
  /// Lamport time of the process at the event.
  std::uint64_t clock_ = 0;
  std::string process_;
  gpRole role_ = gpRole::Entry;
  gpIncarnation incarnation_;
};

/** \class gpTimelineFile
 * \brief The parsed content of one event log file.
 */
struct gpTimelineFile
{
  /// The valid lines, in the order of the file.
  std::vector<gpTimelineRecord> records_;
  /// One BadRecord error for each invalid line, with file name and line number.
  /// The last line of a process that was killed may be truncated.
  std::vector<absl::Status> errors_;
};

/** \class gpTimelineReader
 * \brief Parses the files that gpEventLog writes.
 */
class gpTimelineReader
{
public:
  /// Parses one line, from the first brace on; fails with BadRecord if a field
  /// is missing or invalid.
  static absl::StatusOr<gpTimelineRecord> ReadLine(const std::string& aLine);
  /// Parses a whole file; fails with Io if it can't be read. Invalid lines are
  /// listed in the result.
  static absl::StatusOr<gpTimelineFile> ReadFile(const std::string& aFile);
};

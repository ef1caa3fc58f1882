#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "gpIds.h"
#include "gpMember.h"
#include "gpTimelineEvent.h"

/** \class gpTimelineRecord
 * \brief One line of an event log: an event, and who wrote it when.
 */
struct gpTimelineRecord
{
  gpTimelineEvent event_;
  /// UTC, RFC 3339 with microseconds; its order as text is that of time.
  std::string time_;
  /// Lamport time.
  std::uint64_t clock_ = 0;
  std::string process_;
  gpRole role_ = gpRole::Entry;
  gpIncarnation incarnation_;
};

/** \class gpTimelineFile
 * \brief What one event log holds.
 */
struct gpTimelineFile
{
  /// In the order of the lines.
  std::vector<gpTimelineRecord> records_;
  /// One BadRecord for each line that can't be read, with file and line
  /// number. The last line of a process that was killed may be cut off.
  std::vector<absl::Status> errors_;
};

/** \class gpTimelineReader
 * \brief Reads the files that gpEventLog writes.
 */
class gpTimelineReader
{
public:
  /// Reads one line; BadRecord if it's none.
  static absl::StatusOr<gpTimelineRecord> ReadLine(const std::string& aLine);
  /// Reads a whole file; Io if it can't be read.
  static absl::StatusOr<gpTimelineFile> ReadFile(const std::string& aFile);
};

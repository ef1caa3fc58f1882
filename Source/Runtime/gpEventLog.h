#pragma once

#include <memory>
#include <string>

#include <absl/status/status.h>

#include "gpIds.h"
#include "gpMember.h"
#include "gpTimelineEvent.h"

class gpLamportClock;

/** \class gpEventLog
 * \brief Writes the time line of this process as JSON lines, through log4cxx.
 *
 * Fields of a line: "event", "time" (UTC, RFC 3339 with microseconds), "clock"
 * (Lamport time), "process" (name), "role", "incarnation", and as far as set
 * "job", "task", "attempt", "service", "key", "peer", "number", "detail".
 */
class gpEventLog
{
public:
  explicit gpEventLog(gpLamportClock& aClock);
  ~gpEventLog();

  /// Opens the file for appending; "-" is the standard output.
  absl::Status Open(const std::string& aFile,
                    gpRole aRole,
                    const std::string& aProcess,
                    gpIncarnation aIncarnation);
  /// Adds a line; it is written with the next Flush, or when there are many.
  /// False if it was dropped, because the reader of the standard output is too
  /// slow: the process never waits for it.
  bool Write(const gpTimelineEvent& aEvent);
  /// Writes the lines that wait, as far as their reader takes them at once.
  void Flush();
  bool IsFlushed() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

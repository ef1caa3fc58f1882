#pragma once

#include <memory>
#include <string>

#include <absl/status/status.h>

#include "gpIds.h"
#include "gpMember.h"
#include "gpTimelineEvent.h"

class gpLamportClock;

/** \class gpEventLog
 * \brief Writes the events of this process as JSON lines, through log4cxx.
 *
 * Each line has the fields "event", "time" (UTC, RFC 3339 with microseconds),
 * "clock" (Lamport time), "process" (name), "role" and "incarnation", and those
 * of "job", "task", "attempt", "service", "key", "peer", "number" and "detail"
 * that the event has.
 */
class gpEventLog
{
public:
  explicit gpEventLog(gpLamportClock& aClock);
  ~gpEventLog();

  /// Opens the file for appending; "-" is the standard output. The other
  /// arguments are written with each event.
  absl::Status Open(const std::string& aFile,
                    gpRole aRole,
                    const std::string& aProcess,
                    gpIncarnation aIncarnation);
  /// Buffers a line; it is written by the next Flush, or earlier if the buffer
  /// has grown to a few KiB. Returns false if the line was dropped because the
  /// reader of the standard output is too slow: the process never blocks on it.
  bool Write(const gpTimelineEvent& aEvent);
  /// Writes buffered lines. Lines that the standard output does not accept
  /// without blocking stay in the buffer.
  void Flush();
  /// Whether the buffer is empty.
  bool IsFlushed() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

#pragma once

#include <array>
#include <cstddef>

#include "gpTime.h"

/** \class gpLoopLag
 * \brief How far a process is behind with what it was sent.
 *
 * Pattern: standing queue delay. A wake-up that comes late has waited behind
 * the events before it, as a message that arrived when it was due has. A single
 * long event delays one wake-up; when all of the last few were late, more comes
 * than the process gets done.
 */
class gpLoopLag
{
public:
  /// A wake-up that was due then has come.
  void NoteWake(gpTime aDue, gpTime aNow);
  /// How long each event has waited lately, at the least.
  gpMillis GetStanding() const;

private:
  static constexpr std::size_t kWakes = 4;

  /// How late each of the last wake-ups was.
  std::array<gpMillis, kWakes> late_{};
  std::size_t next_ = 0;
};

#pragma once

#include <cstdint>

#include "gpTime.h"

/** \class gpHeartbeatSeries
 * \brief Recognises the heartbeats that a target goes on sending, as opposed to
 * single ones of another writer and to delayed ones, which arrive together.
 */
class gpHeartbeatSeries
{
public:
  /// Notes a heartbeat that arrived at aNow. Returns whether it's at least the
  /// third in a row with rising sequence numbers that arrived in separate
  /// periods.
  bool Note(std::uint64_t aSequence, gpTime aNow);
  void Restart() { length_ = 0; }

private:
  std::uint64_t last_ = 0;
  gpTime lastAt_;
  int length_ = 0;
};

#include "gpHeartbeatSeries.h"

namespace {

/// Heartbeats that arrive sooner after the one before are of the same period:
/// delayed ones, or repeated ones.
constexpr gpMillis kShortestPeriod{ 300 };
constexpr int kLeastLength = 3;

} // namespace

bool
gpHeartbeatSeries::Note(std::uint64_t aSequence, gpTime aNow)
{
  if (length_ == 0 || aSequence <= last_) {
    length_ = 1;
  } else if (aNow - lastAt_ >= kShortestPeriod) {
    ++length_;
  } else {
    // Counts with the one before, whose time stays.
    last_ = aSequence;
    return false;
  }
  last_ = aSequence;
  lastAt_ = aNow;
  return length_ >= kLeastLength;
}

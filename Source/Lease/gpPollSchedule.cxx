#include "gpPollSchedule.h"

#include <algorithm>

namespace {

/// The pause grows only after so many consecutive failures, as single answers
/// may be lost.
constexpr int kFailuresBeforeBackoff = 3;

} // namespace

gpMillis
gpPollSchedule::GetPause() const
{
  gpMillis pause = kShortestPause;
  for (int poll = kFailuresBeforeBackoff; poll < failures_; ++poll) {
    pause = std::min(2 * pause, kLongestPause);
  }
  return pause;
}

void
gpPollSchedule::NoteAnswered(gpTime aSentAt, gpTime aNow)
{
  if (!IsCurrent(aSentAt)) {
    return;
  }
  isInFlight_ = false;
  answered_ = true;
  nextAt_ = aNow;
  failures_ = 0;
  refusals_ = 0;
}

void
gpPollSchedule::NoteFenceRefused(gpTime aSentAt, gpTime aNow)
{
  if (!IsCurrent(aSentAt)) {
    return;
  }
  if (refusals_ >= kMostFastRefusals) {
    NoteFailed(aSentAt, aNow);
    return;
  }
  ++refusals_;
  isInFlight_ = false;
  nextAt_ = aNow;
}

void
gpPollSchedule::NoteFailed(gpTime aSentAt, gpTime aNow)
{
  if (!IsCurrent(aSentAt)) {
    return;
  }
  isInFlight_ = false;
  ++failures_;
  nextAt_ = aNow + GetPause();
}

void
gpPollSchedule::NoteHeartbeat(gpTime aNow)
{
  if (failures_ > kFailuresBeforeBackoff) {
    failures_ = 0;
    nextAt_ = aNow;
  }
}

void
gpPollSchedule::Restart(gpTime aNow)
{
  isInFlight_ = false;
  restartedAt_ = aNow;
  answered_ = false;
  nextAt_ = aNow;
  failures_ = 0;
  refusals_ = 0;
}

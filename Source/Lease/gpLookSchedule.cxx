#include "gpLookSchedule.h"

#include <algorithm>

namespace {

/// First pause after a failed poll. Short enough for several polls within the
/// time after which a silent target gets no more work.
constexpr gpMillis kShortestPause{ 20 };
/// Longest pause, reached at a target that is gone: a few polls a second.
constexpr gpMillis kLongestPause{ 160 };
/// The pause grows only after so many consecutive failures, as single answers
/// may be lost.
constexpr int kPatientLooks = 3;

} // namespace

gpMillis
gpLookSchedule::GetPause() const
{
  gpMillis pause = kShortestPause;
  for (int look = kPatientLooks; look < failures_; ++look) {
    pause = std::min(2 * pause, kLongestPause);
  }
  return pause;
}

void
gpLookSchedule::NoteAnswered(gpTime aSentAt, gpTime aNow)
{
  if (aSentAt < restartedAt_) {
    return;
  }
  underWay_ = false;
  answered_ = true;
  nextAt_ = aNow;
  failures_ = 0;
}

void
gpLookSchedule::NoteFailed(gpTime aSentAt, gpTime aNow)
{
  if (aSentAt < restartedAt_) {
    return;
  }
  underWay_ = false;
  ++failures_;
  nextAt_ = aNow + GetPause();
}

void
gpLookSchedule::NoteHeard(gpTime aNow)
{
  if (failures_ > kPatientLooks) {
    failures_ = 0;
    nextAt_ = aNow;
  }
}

void
gpLookSchedule::Restart(gpTime aNow)
{
  underWay_ = false;
  restartedAt_ = aNow;
  answered_ = false;
  nextAt_ = aNow;
  failures_ = 0;
}

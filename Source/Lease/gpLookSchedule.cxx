#include "gpLookSchedule.h"

#include <algorithm>

namespace {

/// Pause after a look without an answer; several fit into the time after which
/// a target gets no more work.
constexpr gpMillis kShortestPause{ 20 };
/// Pause in the end, at a target that is gone: a few looks a second.
constexpr gpMillis kLongestPause{ 160 };
/// The pause grows after so many looks in a row: single answers may be lost.
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

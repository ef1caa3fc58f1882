#include "gpLookSchedule.h"

#include <algorithm>

void
gpLookSchedule::NoteAnswered(gpTime aNow)
{
  underWay_ = false;
  answered_ = true;
  nextAt_ = aNow;
  pause_ = kShortestPause;
}

void
gpLookSchedule::NoteFailed(gpTime aNow)
{
  underWay_ = false;
  nextAt_ = aNow + pause_;
  pause_ = std::min(2 * pause_, kLongestPause);
}

void
gpLookSchedule::NoteHeard(gpTime aNow)
{
  if (pause_ != kShortestPause) {
    pause_ = kShortestPause;
    nextAt_ = aNow;
  }
}

void
gpLookSchedule::Restart(gpTime aNow)
{
  answered_ = false;
  nextAt_ = aNow;
  pause_ = kShortestPause;
}

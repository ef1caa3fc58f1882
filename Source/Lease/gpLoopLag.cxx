#include "gpLoopLag.h"

#include <algorithm>
#include <chrono>

void
gpLoopLag::NoteTimer(gpTime aDue, gpTime aNow)
{
  const gpMillis late = std::chrono::duration_cast<gpMillis>(aNow - aDue);
  delays_.at(next_) = std::max(late, gpMillis(0));
  next_ = (next_ + 1) % delays_.size();
}

gpMillis
gpLoopLag::GetStandingDelay() const
{
  return *std::min_element(delays_.begin(), delays_.end());
}

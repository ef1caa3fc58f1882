#include "gpLoopLag.h"

#include <algorithm>
#include <chrono>

void
gpLoopLag::NoteWake(gpTime aDue, gpTime aNow)
{
  const gpMillis late = std::chrono::duration_cast<gpMillis>(aNow - aDue);
  late_.at(next_) = std::max(late, gpMillis(0));
  next_ = (next_ + 1) % late_.size();
}

gpMillis
gpLoopLag::GetStanding() const
{
  return *std::min_element(late_.begin(), late_.end());
}

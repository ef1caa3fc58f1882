#include "gpStartRate.h"

#include <chrono>
#include <cmath>

namespace {

/// Time constant of the average.
constexpr double kAverageSeconds = 2.0;
/// Starts that follow each other faster belong to one job.
constexpr gpMillis kTogether{ 5 };

double
SecondsOf(gpMicros aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

double
gpStartRate::At(gpTime aNow) const
{
  return rate_ * std::exp(-SecondsOf(aNow - notedAt_) / kAverageSeconds);
}

void
gpStartRate::NoteStart(gpTime aNow)
{
  if (rate_ > 0 && aNow - notedAt_ < kTogether) {
    return;
  }
  rate_ = At(aNow) + 1.0 / kAverageSeconds;
  notedAt_ = aNow;
}

double
gpStartRate::ChanceOfStart(gpMillis aSpan, gpTime aNow) const
{
  return 1.0 - std::exp(-At(aNow) * SecondsOf(aSpan));
}

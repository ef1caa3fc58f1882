#pragma once

#include <cmath>

#include "gpTime.h"

/// Multiplies a time by a factor, rounded to whole milliseconds.
inline gpMillis
gpScaled(gpMillis aTime, double aFactor)
{
  return gpMillis(std::llround(static_cast<double>(aTime.count()) * aFactor));
}

#pragma once

#include <cmath>

#include "gpTime.h"

/// A time multiplied by a factor, rounded.
inline gpMillis
gpScaled(gpMillis aTime, double aFactor)
{
  return gpMillis(std::llround(static_cast<double>(aTime.count()) * aFactor));
}

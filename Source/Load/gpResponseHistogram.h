#pragma once

#include <vector>

#include "gpLoadResult.h"
#include "gpTime.h"

/// Counts times in logarithmic bins, 20 per decade, from 100 us to 1000 s.
/// Shorter and longer times are counted in the first and the last bin. The
/// result has no empty bins.
std::vector<gpHistogramBin>
gpResponseHistogram(const std::vector<gpMicros>& aTimes);

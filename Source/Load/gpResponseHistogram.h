#pragma once

#include <vector>

#include "gpLoadResult.h"
#include "gpTime.h"

/// Counts times in bins of equal ratio, 20 to a decade, from 100 us to 1000 s;
/// shorter and longer ones fall into the first and the last bin. Empty bins are
/// left out.
std::vector<gpHistogramBin>
gpResponseHistogram(const std::vector<gpMicros>& aTimes);

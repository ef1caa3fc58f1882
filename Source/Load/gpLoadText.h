#pragma once

#include <string>

#include "gpLoadResult.h"
#include "gpTime.h"

/// A number with so many digits after the point.
std::string
gpFixedText(double aValue, int aDigits);

/// A share as "12.5 %".
std::string
gpPercentText(double aShare);

double
gpMillisOf(gpMicros aTime);

/// Milliseconds with one digit after the point.
std::string
gpMillisText(gpMicros aTime);

/// A time over its bound; 0 if there is none.
double
gpRatioOf(gpMicros aTime, gpMicros aBound);

/// The load that a run asked for, as "80 %".
std::string
gpLoadText(const gpLoadResult& aResult);

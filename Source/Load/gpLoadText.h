#pragma once

#include <string>

#include "gpLoadResult.h"
#include "gpTime.h"

/// A number with aDigits decimal places.
std::string
gpFixedText(double aValue, int aDigits);

/// A share as "12.5 %".
std::string
gpPercentText(double aShare);

double
gpMillisOf(gpMicros aTime);

/// Milliseconds with one decimal place.
std::string
gpMillisText(gpMicros aTime);

/// The ratio of a time to its bound; 0 without a bound.
double
gpRatioOf(gpMicros aTime, gpMicros aBound);

/// The load that a run's experiment sets, as "80 %".
std::string
gpLoadPercentText(const gpLoadResult& aResult);

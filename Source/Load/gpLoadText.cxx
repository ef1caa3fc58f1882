#include "gpLoadText.h"

#include <array>
#include <cstdio>

namespace {

constexpr double kMicrosPerMilli = 1000.0;
constexpr double kPercent = 100.0;

} // namespace

std::string
gpFixedText(double aValue, int aDigits)
{
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", aDigits, aValue);
  return text.data();
}

std::string
gpPercentText(double aShare)
{
  return gpFixedText(aShare * kPercent, 1) + " %";
}

double
gpMillisOf(gpMicros aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosPerMilli;
}

std::string
gpMillisText(gpMicros aTime)
{
  return gpFixedText(gpMillisOf(aTime), 1);
}

double
gpRatioOf(gpMicros aTime, gpMicros aBound)
{
  return aBound.count() > 0 ? gpMillisOf(aTime) / gpMillisOf(aBound) : 0.0;
}

std::string
gpLoadPercentText(const gpLoadResult& aResult)
{
  return gpFixedText(aResult.load_ * kPercent, 0) + " %";
}

#include "gpResponseHistogram.h"

#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>

namespace {

constexpr double kShortestMicros = 1e2;
constexpr double kLongestMicros = 1e9;
constexpr unsigned kBins = 140;

} // namespace

std::vector<gpHistogramBin>
gpResponseHistogram(const std::vector<gpMicros>& aTimes)
{
  namespace bh = boost::histogram;
  using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
  auto histogram =
    bh::make_histogram(LogAxis(kBins, kShortestMicros, kLongestMicros));
  for (const gpMicros time : aTimes) {
    const auto micros = static_cast<double>(time.count());
    histogram(std::clamp(micros, kShortestMicros, kLongestMicros * 0.999));
  }
  std::vector<gpHistogramBin> bins;
  for (const auto& bin : bh::indexed(histogram)) {
    const auto jobs = static_cast<std::uint64_t>(*bin);
    if (jobs > 0) {
      bins.push_back({ gpMicros{ std::llround(bin.bin().upper()) }, jobs });
    }
  }
  return bins;
}

#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <tuple>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "gpMetrics.h"

namespace {

namespace bh = boost::histogram;

/// Number of buckets; each upper edge is the lower one times the square root of
/// 2, so that 40 buckets span a factor of 2^20, from 0.1 ms to 105 s.
constexpr int kBuckets = 40;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = kLowestSeconds * (1U << (kBuckets / 2));
/// Boost.Histogram's index of the bucket for values below the lowest edge.
constexpr int kUnderflow = -1;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts =
  bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

std::string
NumberText(double aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", aNumber);
  return text.data();
}

std::string
InBraces(std::string_view aLabels)
{
  return aLabels.empty() ? "" : "{" + std::string(aLabels) + "}";
}

std::string
BucketLine(const std::string& aName,
           const std::string& aLabels,
           const std::string& aEdge,
           std::uint64_t aCount)
{
  const std::string separator = aLabels.empty() ? "" : ",";
  const std::string labels = aLabels + separator + "le=\"" + aEdge + "\"";
  return aName + "_bucket{" + labels + "} " + std::to_string(aCount) + "\n";
}

} // namespace

struct gpHistogram::Impl
{
  Counts counts_{ Axis(kBuckets, kLowestSeconds, kHighestSeconds) };
  std::uint64_t count_ = 0;
  gpMicros sum_{ 0 };
};

gpHistogram::gpHistogram()
  : impl_(std::make_unique<Impl>())
{
}

gpHistogram::~gpHistogram() = default;

void
gpHistogram::Observe(gpMicros aTime)
{
  impl_->counts_(std::chrono::duration<double>(aTime).count());
  ++impl_->count_;
  impl_->sum_ += aTime;
}

std::string
gpHistogram::Render(const std::string& aName, const std::string& aLabels) const
{
  const Axis& axis = impl_->counts_.axis();
  std::string text;
  // Prometheus buckets are cumulative.
  std::uint64_t cumulative = 0;
  for (int i = kUnderflow; i < axis.size(); ++i) {
    cumulative += impl_->counts_.at(i);
    const std::string edge = NumberText(axis.value(i + 1));
    text += BucketLine(aName, aLabels, edge, cumulative);
  }
  text += BucketLine(aName, aLabels, "+Inf", impl_->count_);
  const double sum = std::chrono::duration<double>(impl_->sum_).count();
  text += aName + "_sum" + InBraces(aLabels) + " " + NumberText(sum) + "\n";
  text += aName + "_count" + InBraces(aLabels) + " " +
          std::to_string(impl_->count_) + "\n";
  return text;
}

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

/// 40 steps of a factor of the square root of 2.
constexpr int kSteps = 40;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = kLowestSeconds * (1U << (kSteps / 2));
/// Boost.Histogram's index of the values below the lowest edge.
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
Braces(std::string_view aLabels)
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
  Counts counts_{ Axis(kSteps, kLowestSeconds, kHighestSeconds) };
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
  std::uint64_t below = 0;
  for (int i = kUnderflow; i < axis.size(); ++i) {
    below += impl_->counts_.at(i);
    const std::string edge = NumberText(axis.value(i + 1));
    text += BucketLine(aName, aLabels, edge, below);
  }
  text += BucketLine(aName, aLabels, "+Inf", impl_->count_);
  const double sum = std::chrono::duration<double>(impl_->sum_).count();
  text += aName + "_sum" + Braces(aLabels) + " " + NumberText(sum) + "\n";
  text += aName + "_count" + Braces(aLabels) + " " +
          std::to_string(impl_->count_) + "\n";
  return text;
}

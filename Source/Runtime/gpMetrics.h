#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "gpTime.h"

/// Label names and values of one time series.
using gpMetricLabels = std::map<std::string, std::string>;

/** \class gpCounter
 * \brief A monotonically increasing count.
 */
class gpCounter
{
public:
  void Add(std::uint64_t aCount = 1) { count_ += aCount; }
  std::uint64_t Get() const { return count_; }

private:
  std::uint64_t count_ = 0;
};

/** \class gpGauge
 * \brief A value that may increase and decrease.
 */
class gpGauge
{
public:
  void Set(double aValue) { value_ = aValue; }
  double Get() const { return value_; }

private:
  double value_ = 0;
};

/** \class gpHistogram
 * \brief A distribution of durations, in logarithmic buckets from 0.1 ms to
 * 105 s.
 */
class gpHistogram
{
public:
  gpHistogram();
  ~gpHistogram();
  gpHistogram(const gpHistogram&) = delete;
  gpHistogram& operator=(const gpHistogram&) = delete;

  void Observe(gpMicros aTime);
  /// The lines of this histogram in the Prometheus text format, in seconds.
  /// aLabels is what stands between the braces of a series, escaped; it may be
  /// empty.
  std::string Render(const std::string& aName,
                     const std::string& aLabels) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** \class gpMetrics
 * \brief All time series of a process.
 *
 * Not thread-safe. The same name and labels return the same series; references
 * to it stay valid as long as this object. A name may be used for one kind of
 * series only; the help text of its first use is the one that is rendered.
 */
class gpMetrics
{
public:
  gpMetrics();
  ~gpMetrics();
  gpMetrics(const gpMetrics&) = delete;
  gpMetrics& operator=(const gpMetrics&) = delete;

  gpCounter& Counter(const std::string& aName,
                     const std::string& aHelp,
                     const gpMetricLabels& aLabels = {});
  gpGauge& Gauge(const std::string& aName,
                 const std::string& aHelp,
                 const gpMetricLabels& aLabels = {});
  /// The name must end in "_seconds", the unit in which it is rendered.
  gpHistogram& Histogram(const std::string& aName,
                         const std::string& aHelp,
                         const gpMetricLabels& aLabels = {});
  /// All series in the Prometheus text format, sorted by name.
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

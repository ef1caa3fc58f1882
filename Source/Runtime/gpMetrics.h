#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "gpTime.h"

/// Label names and values of one time series.
using gpMetricLabels = std::map<std::string, std::string>;

/** \class gpCounter
 * \brief A count that only grows.
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
 * \brief A value that goes up and down.
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
 * \brief A distribution of times, from 0.1 ms to 100 s in logarithmic steps.
 */
class gpHistogram
{
public:
  gpHistogram();
  ~gpHistogram();
  gpHistogram(const gpHistogram&) = delete;
  gpHistogram& operator=(const gpHistogram&) = delete;

  void Observe(gpMicros aTime);
  /// The lines of one Prometheus histogram, in seconds. The labels are as
  /// they stand between the braces.
  std::string Render(const std::string& aName,
                     const std::string& aLabels) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** \class gpMetrics
 * \brief All time series of a process.
 *
 * For one thread. The same name and labels give the same series; references
 * stay valid. A name belongs to one kind of series, and its first help text
 * stays.
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
  /// The name is to end in "_seconds", the unit in which it's rendered.
  gpHistogram& Histogram(const std::string& aName,
                         const std::string& aHelp,
                         const gpMetricLabels& aLabels = {});
  /// All series in the text format of Prometheus, by name.
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

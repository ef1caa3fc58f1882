#include "gpLoadCharts.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "gpLoadText.h"
#include "gpSvgChart.h"

namespace {

constexpr double kPercent = 100.0;

using Metric = double (*)(const gpLoadResult&);

/// The mean of a metric over the runs with the same label and load.
std::map<std::string, std::map<double, double>>
MeansOf(const gpLoadResults& aResults, Metric aMetric)
{
  std::map<std::string, std::map<double, std::vector<double>>> values;
  for (const gpLoadResult* result : aResults) {
    values[result->label_][result->load_].push_back(aMetric(*result));
  }
  std::map<std::string, std::map<double, double>> means;
  for (const auto& [label, loads] : values) {
    for (const auto& [load, list] : loads) {
      double sum = 0.0;
      for (const double value : list) {
        sum += value;
      }
      means[label][load] = sum / static_cast<double>(list.size());
    }
  }
  return means;
}

/// A line chart over the load, or a bar chart if there is only one load.
std::string
MetricChart(const gpLoadResults& aResults,
            const std::string& aTitle,
            const std::string& aLabel,
            Metric aMetric)
{
  std::set<double> loads;
  for (const gpLoadResult* result : aResults) {
    loads.insert(result->load_);
  }
  const auto means = MeansOf(aResults, aMetric);
  if (loads.size() > 1) {
    gpLineChart chart{ aTitle, "load, % of capacity", aLabel, false, true, {} };
    for (const auto& [label, points] : means) {
      gpChartLine line{ label, {} };
      for (const auto& [load, mean] : points) {
        line.points_.push_back({ load * kPercent, mean });
      }
      chart.lines_.push_back(std::move(line));
    }
    return gpRenderChart(chart);
  }
  gpBarChart chart{ aTitle, aLabel, {}, {} };
  chart.series_.push_back(
    { gpLoadPercentText(*aResults.front()) + " load", {} });
  for (const auto& [label, points] : means) {
    chart.categories_.push_back(label);
    chart.series_.front().values_.push_back(points.begin()->second);
  }
  return gpRenderChart(chart);
}

std::string
RunName(const gpLoadResult& aResult)
{
  return aResult.label_ + ", " + gpLoadPercentText(aResult) + ", seed " +
         std::to_string(aResult.seed_);
}

std::string
DistributionChart(const gpLoadResults& aResults)
{
  gpLineChart chart{ "Jobs completed within a response time",
                     "response time, ms",
                     "% of completed jobs",
                     true,
                     false,
                     {} };
  for (const gpLoadResult* result : aResults) {
    gpChartLine line{ RunName(*result), {} };
    std::uint64_t jobs = 0;
    const double all =
      std::max(1.0, static_cast<double>(result->All().response_.count_));
    for (const gpHistogramBin& bin : result->histogram_) {
      jobs += bin.jobs_;
      line.points_.push_back(
        { gpMillisOf(bin.upTo_), static_cast<double>(jobs) / all * kPercent });
    }
    chart.lines_.push_back(std::move(line));
  }
  return gpRenderChart(chart);
}

std::string
TimelineChart(const gpLoadResults& aResults)
{
  gpLineChart chart{ "Response time by second of arrival",
                     "second of the run",
                     "p99 of completed jobs, ms",
                     false,
                     true,
                     {} };
  for (const gpLoadResult* result : aResults) {
    gpChartLine line{ RunName(*result), {} };
    for (std::size_t second = 0; second < result->seconds_.size(); ++second) {
      if (result->seconds_[second].complete_ > 0) {
        line.points_.push_back({ static_cast<double>(second),
                                 gpMillisOf(result->seconds_[second].p99_) });
      }
    }
    chart.lines_.push_back(std::move(line));
  }
  return gpRenderChart(chart);
}

} // namespace

std::vector<gpReportFile>
gpLoadCharts(const std::string& aStem, const gpLoadResults& aResults)
{
  return {
    { aStem + "-response.svg",
      MetricChart(aResults,
                  "99th percentile of the response time",
                  "p99 / lower bound",
                  [](const gpLoadResult& aResult) {
                    return gpRatioOf(aResult.All().response_.p99_,
                                     aResult.All().bound_.p99_);
                  }) },
    { aStem + "-goodput.svg",
      MetricChart(aResults,
                  "Goodput",
                  "completed work, % of capacity",
                  [](const gpLoadResult& aResult) {
                    return aResult.goodput_ * kPercent;
                  }) },
    { aStem + "-messages.svg",
      MetricChart(aResults,
                  "Messages beyond those needed",
                  "% of those needed",
                  [](const gpLoadResult& aResult) {
                    return aResult.messages_.ExcessShare() * kPercent;
                  }) },
    { aStem + "-distribution.svg", DistributionChart(aResults) },
    { aStem + "-timeline.svg", TimelineChart(aResults) },
  };
}

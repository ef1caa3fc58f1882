#pragma once

#include <string>
#include <vector>

/** \class gpChartPoint
 * \brief One point of a line.
 */
struct gpChartPoint
{
  double x_ = 0.0;
  double y_ = 0.0;
};

/** \class gpChartLine
 * \brief One line of a chart, with its name in the legend.
 */
struct gpChartLine
{
  std::string name_;
  std::vector<gpChartPoint> points_;
};

/** \class gpLineChart
 * \brief Lines over a common x axis.
 */
struct gpLineChart
{
  std::string title_;
  std::string xLabel_;
  std::string yLabel_;
  /// Logarithmic x axis; all x must be above 0.
  bool isLogX_ = false;
  /// Whether to draw a circle at each point.
  bool hasMarks_ = true;
  std::vector<gpChartLine> lines_;
};

/** \class gpBarSeries
 * \brief One bar in each category, with its name in the legend.
 */
struct gpBarSeries
{
  std::string name_;
  /// One value for each category.
  std::vector<double> values_;
};

/** \class gpBarChart
 * \brief Groups of bars, one group for each category.
 */
struct gpBarChart
{
  std::string title_;
  std::string yLabel_;
  std::vector<std::string> categories_;
  std::vector<gpBarSeries> series_;
};

/// Renders a chart as an SVG document. The y axis starts at 0.
std::string
gpRenderChart(const gpLineChart& aChart);
std::string
gpRenderChart(const gpBarChart& aChart);

#include "gpSvgChart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

namespace {

constexpr double kWidth = 860.0;
constexpr double kHeight = 440.0;
constexpr double kLeft = 70.0;
constexpr double kRight = 640.0;
constexpr double kTop = 40.0;
constexpr double kBottom = 380.0;
constexpr double kLegendX = 660.0;
constexpr double kLegendStep = 20.0;
constexpr int kTicks = 6;
/// Tolerance for rounding errors if a range is a whole number of steps.
constexpr double kRounding = 1.0 + 1e-9;

constexpr std::array kColours = {
  "#1b6ca8", "#d1495b", "#2a9d5c", "#8e5ea2",
  "#c98a00", "#4a4a4a", "#00a0a0", "#b05a2c",
};

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string
Number(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", aValue);
  return text.data();
}

std::string
Position(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", aValue);
  return text.data();
}

/// The distance of the ticks for a range: 1, 2 or 5 times a power of ten.
double
TickStep(double aRange)
{
  const double rough = aRange / kTicks;
  const double power = std::pow(10.0, std::floor(std::log10(rough)));
  for (const double factor : { 1.0, 2.0, 5.0 }) {
    if (rough <= factor * power * kRounding) {
      return factor * power;
    }
  }
  return 10.0 * power;
}

/** \class Axis
 * \brief Maps values to positions on the drawing, and computes the ticks.
 */
class Axis
{
public:
  Axis(double aMin, double aMax, double aFrom, double aTo, bool aLog)
    : from_(aFrom)
    , to_(aTo)
    , isLog_(aLog)
  {
    if (isLog_) {
      min_ = std::floor(std::log10(aMin));
      max_ = std::max(std::ceil(std::log10(aMax)), min_ + 1.0);
    } else {
      min_ = aMin;
      max_ = aMax > aMin ? aMax : aMin + 1.0;
    }
  }

  double At(double aValue) const
  {
    const double value = isLog_ ? std::log10(aValue) : aValue;
    return from_ + (value - min_) / (max_ - min_) * (to_ - from_);
  }

  std::vector<double> Ticks() const
  {
    std::vector<double> ticks;
    const double step = isLog_ ? 1.0 : TickStep(max_ - min_);
    const double slack = step * 1e-6;
    const auto first = std::llround(std::ceil((min_ - slack) / step));
    const auto last = std::llround(std::floor((max_ + slack) / step));
    for (auto index = first; index <= last; ++index) {
      const double tick = static_cast<double>(index) * step;
      ticks.push_back(isLog_ ? std::pow(10.0, tick) : tick);
    }
    return ticks;
  }

private:
  double min_ = 0.0;
  double max_ = 1.0;
  double from_;
  double to_;
  bool isLog_;
};

Axis
ValueAxis(double aMax)
{
  const double step = TickStep(aMax > 0.0 ? aMax : 1.0);
  const double top = std::max(1.0, std::ceil(aMax / step - 1e-9)) * step;
  return { 0.0, top, kBottom, kTop, false };
}

/** \class Drawing
 * \brief Collects the elements of an SVG document.
 */
class Drawing
{
public:
  explicit Drawing(const std::string& aTitle)
  {
    text_ = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
            Position(kWidth) + "\" height=\"" + Position(kHeight) +
            "\" font-family=\"sans-serif\" font-size=\"12\">\n" +
            "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    Text(kLeft, kTop - 18.0, "start", aTitle, " font-size=\"15\"");
  }

  void Text(double aX,
            double aY,
            const std::string& aAnchor,
            const std::string& aText,
            const std::string& aAttributes = "")
  {
    text_ += "<text x=\"" + Position(aX) + "\" y=\"" + Position(aY) +
             "\" text-anchor=\"" + aAnchor + "\"" + aAttributes + ">" +
             Escape(aText) + "</text>\n";
  }

  void Line(double aX1, double aY1, double aX2, double aY2, const char* aColour)
  {
    text_ += "<line x1=\"" + Position(aX1) + "\" y1=\"" + Position(aY1) +
             "\" x2=\"" + Position(aX2) + "\" y2=\"" + Position(aY2) +
             "\" stroke=\"" + aColour + "\"/>\n";
  }

  void Rectangle(double aX,
                 double aY,
                 double aWidth,
                 double aHeight,
                 const char* aColour)
  {
    text_ += "<rect x=\"" + Position(aX) + "\" y=\"" + Position(aY) +
             "\" width=\"" + Position(aWidth) + "\" height=\"" +
             Position(aHeight) + "\" fill=\"" + aColour + "\"/>\n";
  }

  void Path(const std::string& aPoints, const char* aColour)
  {
    text_ += "<polyline points=\"" + aPoints + "\" fill=\"none\" stroke=\"" +
             aColour + "\" stroke-width=\"2\"/>\n";
  }

  void Mark(double aX, double aY, const char* aColour)
  {
    text_ += "<circle cx=\"" + Position(aX) + "\" cy=\"" + Position(aY) +
             "\" r=\"3\" fill=\"" + aColour + "\"/>\n";
  }

  void Legend(std::size_t aIndex, const std::string& aName)
  {
    const double y = kTop + static_cast<double>(aIndex) * kLegendStep;
    Rectangle(kLegendX, y, 12.0, 12.0, Colour(aIndex));
    Text(kLegendX + 18.0, y + 10.0, "start", aName);
  }

  void ValueAxisLines(const Axis& aAxis, const std::string& aLabel)
  {
    for (const double tick : aAxis.Ticks()) {
      const double y = aAxis.At(tick);
      Line(kLeft, y, kRight, y, "#dddddd");
      Text(kLeft - 6.0, y + 4.0, "end", Number(tick));
    }
    Line(kLeft, kTop, kLeft, kBottom, "black");
    Line(kLeft, kBottom, kRight, kBottom, "black");
    const std::string middle = Position((kTop + kBottom) / 2.0);
    Text(16.0,
         (kTop + kBottom) / 2.0,
         "middle",
         aLabel,
         " transform=\"rotate(-90 16 " + middle + ")\"");
  }

  static const char* Colour(std::size_t aIndex)
  {
    return kColours[aIndex % kColours.size()];
  }

  std::string Finish() { return text_ + "</svg>\n"; }

private:
  std::string text_;
};

struct Extent
{
  double minX_ = std::numeric_limits<double>::infinity();
  double maxX_ = -std::numeric_limits<double>::infinity();
  double maxY_ = 0.0;
};

Extent
ExtentOf(const gpLineChart& aChart)
{
  Extent extent;
  for (const gpChartLine& line : aChart.lines_) {
    for (const gpChartPoint& point : line.points_) {
      extent.minX_ = std::min(extent.minX_, point.x_);
      extent.maxX_ = std::max(extent.maxX_, point.x_);
      extent.maxY_ = std::max(extent.maxY_, point.y_);
    }
  }
  if (extent.minX_ > extent.maxX_) {
    extent.minX_ = 1.0;
    extent.maxX_ = 10.0;
  }
  return extent;
}

} // namespace

std::string
gpRenderChart(const gpLineChart& aChart)
{
  const Extent extent = ExtentOf(aChart);
  const Axis xAxis(extent.minX_, extent.maxX_, kLeft, kRight, aChart.isLogX_);
  const Axis yAxis = ValueAxis(extent.maxY_);
  Drawing drawing(aChart.title_);
  drawing.ValueAxisLines(yAxis, aChart.yLabel_);
  for (const double tick : xAxis.Ticks()) {
    drawing.Line(
      xAxis.At(tick), kBottom, xAxis.At(tick), kBottom + 5.0, "black");
    drawing.Text(xAxis.At(tick), kBottom + 18.0, "middle", Number(tick));
  }
  drawing.Text(
    (kLeft + kRight) / 2.0, kBottom + 40.0, "middle", aChart.xLabel_);
  for (std::size_t index = 0; index < aChart.lines_.size(); ++index) {
    std::string points;
    for (const gpChartPoint& point : aChart.lines_[index].points_) {
      const double x = xAxis.At(point.x_);
      const double y = yAxis.At(point.y_);
      points += Position(x) + "," + Position(y) + " ";
      if (aChart.hasMarks_) {
        drawing.Mark(x, y, Drawing::Colour(index));
      }
    }
    drawing.Path(points, Drawing::Colour(index));
    drawing.Legend(index, aChart.lines_[index].name_);
  }
  return drawing.Finish();
}

std::string
gpRenderChart(const gpBarChart& aChart)
{
  double largest = 0.0;
  for (const gpBarSeries& series : aChart.series_) {
    for (const double value : series.values_) {
      largest = std::max(largest, value);
    }
  }
  const Axis yAxis = ValueAxis(largest);
  Drawing drawing(aChart.title_);
  drawing.ValueAxisLines(yAxis, aChart.yLabel_);
  const auto categories = static_cast<double>(aChart.categories_.size());
  const double groupWidth = (kRight - kLeft) / std::max(1.0, categories);
  const double barWidth =
    groupWidth * 0.8 /
    std::max(1.0, static_cast<double>(aChart.series_.size()));
  for (std::size_t group = 0; group < aChart.categories_.size(); ++group) {
    const double left = kLeft + groupWidth * static_cast<double>(group);
    drawing.Text(left + groupWidth / 2.0,
                 kBottom + 18.0,
                 "middle",
                 aChart.categories_[group]);
    for (std::size_t bar = 0; bar < aChart.series_.size(); ++bar) {
      const double y = yAxis.At(aChart.series_[bar].values_.at(group));
      const double x =
        left + groupWidth * 0.1 + barWidth * static_cast<double>(bar);
      drawing.Rectangle(
        x, y, barWidth * 0.95, kBottom - y, Drawing::Colour(bar));
    }
  }
  for (std::size_t bar = 0; bar < aChart.series_.size(); ++bar) {
    drawing.Legend(bar, aChart.series_[bar].name_);
  }
  return drawing.Finish();
}

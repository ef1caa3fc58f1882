#include "gpMetrics.h"

#include <sstream>
#include <string_view>

namespace {

/// All series of one metric name, by their rendered labels without the braces.
template<typename Series>
struct Family
{
  std::string help_;
  std::map<std::string, Series> series_;
};

template<typename Series>
using Families = std::map<std::string, Family<Series>>;

std::string
EscapeText(std::string_view aText, bool aIsQuoted)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '\n') {
      escaped += "\\n";
    } else if (letter == '\\' || (letter == '"' && aIsQuoted)) {
      escaped += '\\';
      escaped += letter;
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

std::string
LabelsText(const gpMetricLabels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += text.empty() ? "" : ",";
    text += name + "=\"" + EscapeText(value, true) + "\"";
  }
  return text;
}

template<typename Series>
Series&
FindOrCreate(Families<Series>& aFamilies,
             const std::string& aName,
             const std::string& aHelp,
             const gpMetricLabels& aLabels)
{
  const auto family = aFamilies.try_emplace(aName, Family<Series>{ aHelp, {} });
  return family.first->second.series_[LabelsText(aLabels)];
}

template<typename Value>
std::string
ValueLine(const std::string& aName, const std::string& aLabels, Value aValue)
{
  std::ostringstream line;
  line << aName;
  if (!aLabels.empty()) {
    line << '{' << aLabels << '}';
  }
  line << ' ' << aValue << '\n';
  return line.str();
}

std::string
SeriesText(const std::string& aName,
           const std::string& aLabels,
           const gpHistogram& aHistogram)
{
  return aHistogram.Render(aName, aLabels);
}

template<typename Series>
std::string
SeriesText(const std::string& aName,
           const std::string& aLabels,
           const Series& aSeries)
{
  return ValueLine(aName, aLabels, aSeries.Get());
}

template<typename Series>
void
RenderFamilies(const Families<Series>& aFamilies,
               const std::string& aType,
               std::map<std::string, std::string>& aTexts)
{
  for (const auto& [name, family] : aFamilies) {
    std::string& text = aTexts[name];
    text += "# HELP " + name + " " + EscapeText(family.help_, false) + "\n";
    text.append("# TYPE ").append(name).append(" ").append(aType).append("\n");
    for (const auto& [labels, series] : family.series_) {
      text += SeriesText(name, labels, series);
    }
  }
}

} // namespace

struct gpMetrics::Impl
{
  Families<gpCounter> counters_;
  Families<gpGauge> gauges_;
  Families<gpHistogram> histograms_;
};

gpMetrics::gpMetrics()
  : impl_(std::make_unique<Impl>())
{
}

gpMetrics::~gpMetrics() = default;

gpCounter&
gpMetrics::Counter(const std::string& aName,
                   const std::string& aHelp,
                   const gpMetricLabels& aLabels)
{
  return FindOrCreate(impl_->counters_, aName, aHelp, aLabels);
}

gpGauge&
gpMetrics::Gauge(const std::string& aName,
                 const std::string& aHelp,
                 const gpMetricLabels& aLabels)
{
  return FindOrCreate(impl_->gauges_, aName, aHelp, aLabels);
}

gpHistogram&
gpMetrics::Histogram(const std::string& aName,
                     const std::string& aHelp,
                     const gpMetricLabels& aLabels)
{
  return FindOrCreate(impl_->histograms_, aName, aHelp, aLabels);
}

std::string
gpMetrics::Render() const
{
  std::map<std::string, std::string> texts;
  RenderFamilies(impl_->counters_, "counter", texts);
  RenderFamilies(impl_->gauges_, "gauge", texts);
  RenderFamilies(impl_->histograms_, "histogram", texts);
  std::string all;
  for (const auto& [name, text] : texts) {
    all += text;
  }
  return all;
}

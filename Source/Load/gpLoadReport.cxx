#include "gpLoadReport.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <map>
#include <utility>

#include "gpLoadTables.h"

namespace {

std::string
FileStem(const std::string& aExperiment)
{
  std::string stem;
  for (const char letter : aExperiment) {
    const bool isPlain = std::isalnum(static_cast<unsigned char>(letter)) != 0;
    stem += isPlain ? letter : '-';
  }
  return stem;
}

std::string
Section(const std::string& aExperiment,
        const gpLoadResults& aResults,
        const std::vector<gpReportFile>& aCharts)
{
  std::string text = "# " + aExperiment + "\n\n## Answers\n\n";
  text += gpAnswerTable(aResults);
  text += gpCodeTable(aResults);
  text += "## Response times\n\n"
          "Of completed jobs, from the planned arrival. The bound is a lower "
          "bound for every schedule; the reference is the best of several "
          "list schedules without overhead.\n\n";
  text += gpResponseTable(aResults);
  text += gpGroupTable(aResults);
  text += gpReferenceTable(aResults);
  text += "## Messages\n\n";
  text += gpMessageTable(aResults);
  text += "## Charts\n\n";
  for (const gpReportFile& chart : aCharts) {
    text += "![" + chart.name_ + "](" + chart.name_ + ")\n\n";
  }
  return text;
}

} // namespace

std::vector<gpReportFile>
gpRenderLoadReport(const std::vector<gpLoadResult>& aResults)
{
  std::map<std::string, gpLoadResults> experiments;
  for (const gpLoadResult& result : aResults) {
    experiments[result.experiment_].push_back(&result);
  }
  std::vector<gpReportFile> files = { { "report.md", "" } };
  for (auto& [experiment, results] : experiments) {
    std::stable_sort(results.begin(),
                     results.end(),
                     [](const gpLoadResult* aLeft, const gpLoadResult* aRight) {
                       return aLeft->load_ < aRight->load_;
                     });
    std::vector<gpReportFile> charts =
      gpLoadCharts(FileStem(experiment), results);
    files.front().content_ += Section(experiment, results, charts);
    std::move(charts.begin(), charts.end(), std::back_inserter(files));
  }
  return files;
}

#include "gpExplainCommand.h"

#include <fstream>

#include "gpError.h"
#include "gpEventLogFiles.h"
#include "gpExplanation.h"

namespace {

namespace po = boost::program_options;

using Names = std::vector<std::string>;

absl::Status
WriteFile(const std::string& aName, const std::string& aText)
{
  std::ofstream file(aName, std::ios::binary);
  file << aText << std::flush;
  return file ? absl::OkStatus()
              : gpMakeError(gpErrorCode::Io, aName + ": cannot write the file");
}

/// Writes one chart a queue, to PREFIX-QUEUE.svg.
absl::Status
WriteCharts(const std::string& aPrefix, const gpExplanation& aExplanation)
{
  for (const auto& [name, queue] : aExplanation) {
    std::string file = aPrefix;
    file.append("-").append(name).append(".svg");
    absl::Status status = WriteFile(file, gpExplanationChart(name, queue));
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

} // namespace

void
gpExplainCommand::AddOptions(gpCommandOptions& aOptions) const
{
  aOptions.unnamed_.add_options()("files", po::value<Names>()->required());
  aOptions.positions_.add("files", -1);
  aOptions.named_.add_options()("json",
                                po::value<std::string>()->value_name("FILE"),
                                "also write the result as JSON")(
    "charts",
    po::value<std::string>()->value_name("PREFIX"),
    "also write a chart of each queue to PREFIX-QUEUE.svg");
}

gpExitCode
gpExplainCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  absl::StatusOr<gpEventLogRecords> logs =
    gpReadEventLogs(aValues["files"].as<Names>(), aConsole);
  if (!logs.ok()) {
    return Fail(aConsole, logs.status());
  }
  const gpExplanation explanation =
    gpExplain(gpTraceJobs(std::move(logs->records_)));
  aConsole.out_ << gpExplanationText(explanation);
  aConsole.out_ << "lines that could not be read: " << logs->unread_ << "\n";
  absl::Status status;
  if (aValues.count("json") > 0) {
    status = WriteFile(aValues["json"].as<std::string>(),
                       gpExplanationJson(explanation));
  }
  if (status.ok() && aValues.count("charts") > 0) {
    status = WriteCharts(aValues["charts"].as<std::string>(), explanation);
  }
  return status.ok() ? gpExitCode::Success : Fail(aConsole, status);
}

#include "gpLoadOptions.h"

#include <sstream>
#include <utility>

#include <boost/program_options.hpp>

#include "gpBuildVersion.h"
#include "gpError.h"

namespace po = boost::program_options;

namespace {

constexpr const char* kUsage =
  "Usage: gypsumpoint-load run --entry ADDRESS... [options]\n"
  "       gypsumpoint-load plan [options]\n"
  "       gypsumpoint-load report --out FOLDER RESULT.json...\n"
  "       gypsumpoint-load --help | --version\n\n"
  "run     sends the jobs of an experiment to entries and checks the answers\n"
  "plan    prints the number of jobs and the bounds of their response times\n"
  "report  compares result files: tables in Markdown, charts in SVG\n\n";

constexpr const char* kExitCodes =
  "\nExit codes: 0 done; 1 failed, or an answer was wrong; 2 usage.\n";

absl::Status
BadArgument(const std::string& aProblem)
{
  return gpMakeError(gpErrorCode::BadArgument, aProblem);
}

/// Options that override a field of the experiment: option, field.
constexpr std::pair<const char*, const char*> kFieldOptions[] = {
  { "seed", "seed" },
  { "load", "load" },
  { "duration-ms", "duration_ms" },
  { "time-scale", "time_scale" },
};

po::options_description
ExperimentDescription()
{
  po::options_description description("Experiment (run, plan)");
  auto option = description.add_options();
  option("experiment", po::value<std::string>(), "experiment file (JSON)");
  option("seed", po::value<std::string>(), "seed of the plan");
  option("load", po::value<std::string>(), "work as a share of the capacity");
  option("duration-ms", po::value<std::string>(), "time in which jobs arrive");
  option("time-scale", po::value<std::string>(), "factor on the run times");
  option("set",
         po::value<std::vector<std::string>>(),
         "FIELD=VALUE: any field of the experiment, such as "
         "deployment.caller_delay_us=0; may be given more than once");
  return description;
}

po::options_description
RunDescription(gpRunOptions& aOptions)
{
  po::options_description description("Run");
  auto option = description.add_options();
  option("entry",
         po::value<std::vector<std::string>>(),
         "address of an entry; may be given more than once");
  option("metrics-at",
         po::value<std::vector<std::string>>(),
         "address of a process whose message counters are read; may be given "
         "more than once");
  option("label",
         po::value(&aOptions.label_),
         "name of this run in the report, such as the policy");
  option(
    "run-name", po::value(&aOptions.runName_), "prefix of all submission keys");
  option("out", po::value(&aOptions.out_), "result file (report: folder)");
  option(
    "attempts",
    po::value(&aOptions.attempts_)->default_value(aOptions.attempts_),
    "most submissions of a job; with more than 1, a refused job is submitted "
    "again after the answer's retry_after_ms");
  option(
    "connections",
    po::value(&aOptions.connections_)->default_value(aOptions.connections_),
    "connections to each entry");
  option(
    "max-in-flight",
    po::value(&aOptions.jobsInFlight_)->default_value(aOptions.jobsInFlight_),
    "most jobs in flight; further ones are not sent");
  return description;
}

absl::StatusOr<gpExperimentOptions>
ExperimentOptionsOf(const po::variables_map& aValues)
{
  gpExperimentOptions options;
  if (aValues.count("experiment") > 0) {
    options.file_ = aValues["experiment"].as<std::string>();
  }
  for (const auto& [option, field] : kFieldOptions) {
    if (aValues.count(option) > 0) {
      options.overrides_.push_back(
        { field, aValues[option].as<std::string>() });
    }
  }
  if (aValues.count("set") > 0) {
    for (const auto& text : aValues["set"].as<std::vector<std::string>>()) {
      const std::size_t equals = text.find('=');
      if (equals == std::string::npos || equals == 0) {
        return BadArgument("--set " + text + ": is not FIELD=VALUE");
      }
      options.overrides_.push_back(
        { text.substr(0, equals), text.substr(equals + 1) });
    }
  }
  return options;
}

std::vector<gpAddress>
AddressesOf(const po::variables_map& aValues, const char* aOption)
{
  std::vector<gpAddress> addresses;
  if (aValues.count(aOption) > 0) {
    for (const auto& text : aValues[aOption].as<std::vector<std::string>>()) {
      addresses.emplace_back(text);
    }
  }
  return addresses;
}

absl::StatusOr<gpLoadOptions>
FinishRun(const po::variables_map& aValues, gpRunOptions aOptions)
{
  auto experiment = ExperimentOptionsOf(aValues);
  if (!experiment.ok()) {
    return experiment.status();
  }
  aOptions.experiment_ = *std::move(experiment);
  aOptions.entries_ = AddressesOf(aValues, "entry");
  aOptions.metricsAt_ = AddressesOf(aValues, "metrics-at");
  if (aOptions.entries_.empty()) {
    return BadArgument("--entry is missing");
  }
  if (aOptions.attempts_ == 0 || aOptions.connections_ == 0 ||
      aOptions.jobsInFlight_ == 0) {
    return BadArgument("--attempts, --connections and --max-in-flight must be "
                       "at least 1");
  }
  return gpLoadOptions(std::move(aOptions));
}

absl::StatusOr<gpLoadOptions>
FinishPlan(const po::variables_map& aValues)
{
  auto experiment = ExperimentOptionsOf(aValues);
  if (!experiment.ok()) {
    return experiment.status();
  }
  return gpLoadOptions(gpPlanOptions{ *std::move(experiment) });
}

absl::StatusOr<gpLoadOptions>
FinishReport(const po::variables_map& aValues)
{
  gpReportOptions options;
  if (aValues.count("out") > 0) {
    options.out_ = aValues["out"].as<std::string>();
  }
  if (aValues.count("result") > 0) {
    options.results_ = aValues["result"].as<std::vector<std::string>>();
  }
  if (options.out_.empty() || options.results_.empty()) {
    return BadArgument("report needs --out FOLDER and result files");
  }
  return gpLoadOptions(std::move(options));
}

absl::StatusOr<gpLoadOptions>
Parse(const std::vector<std::string>& aArguments)
{
  gpRunOptions run;
  po::options_description visible;
  visible.add_options()("help", "print this text")("version",
                                                   "print the version");
  visible.add(ExperimentDescription()).add(RunDescription(run));
  po::options_description all;
  all.add(visible).add_options()("command", po::value<std::string>())(
    "result", po::value<std::vector<std::string>>());
  po::positional_options_description positions;
  positions.add("command", 1).add("result", -1);
  po::variables_map values;
  po::store(po::command_line_parser(aArguments)
              .options(all)
              .positional(positions)
              .run(),
            values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::ostringstream text;
    text << kUsage << visible << kExitCodes;
    return gpLoadOptions(gpHelpOptions{ text.str() });
  }
  if (values.count("version") > 0) {
    return gpLoadOptions(gpHelpOptions{ "gypsumpoint-load " +
                                        std::string(gpBuildVersion()) + "\n" });
  }
  const std::string command =
    values.count("command") > 0 ? values["command"].as<std::string>() : "";
  if (command != "report" && values.count("result") > 0) {
    return BadArgument("only the report command takes result files");
  }
  if (command == "run") {
    return FinishRun(values, std::move(run));
  }
  if (command == "plan") {
    return FinishPlan(values);
  }
  if (command == "report") {
    return FinishReport(values);
  }
  return BadArgument("the command must be run, plan or report; see --help");
}

} // namespace

absl::StatusOr<gpLoadOptions>
gpParseLoadOptions(const std::vector<std::string>& aArguments)
{
  try {
    return Parse(aArguments);
  } catch (const po::error& error) {
    return BadArgument(error.what());
  }
}

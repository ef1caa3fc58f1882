#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "gpExperimentFile.h"
#include "gpIds.h"

/** \brief Plain aggregates for the options of the command line.
 */

/** \class gpExperimentOptions
 * \brief The experiment file and the values that override its fields.
 */
struct gpExperimentOptions
{
  /// Empty: all fields have their defaults.
  std::string file_;
  std::vector<gpOverride> overrides_;
};

/** \class gpRunOptions
 * \brief `run`: send the jobs and check the answers.
 */
struct gpRunOptions
{
  gpExperimentOptions experiment_;
  std::vector<gpAddress> entries_;
  std::vector<gpAddress> metricsAt_;
  std::string label_;
  /// Prefix of the submission keys; empty: a unique one for each run.
  std::string runName_;
  /// Result file; empty: not written.
  std::string out_;
  std::uint32_t attempts_ = 1;
  std::uint32_t connections_ = 1024;
  std::uint32_t jobsInFlight_ = 20000;
};

/** \class gpPlanOptions
 * \brief `plan`: print the size of the plan and the bounds of its response
 * times.
 */
struct gpPlanOptions
{
  gpExperimentOptions experiment_;
};

/** \class gpReportOptions
 * \brief `report`: compare result files.
 */
struct gpReportOptions
{
  /// Folder for the files of the report.
  std::string out_;
  std::vector<std::string> results_;
};

/** \class gpHelpOptions
 * \brief `--help` or `--version`: print this text.
 */
struct gpHelpOptions
{
  std::string text_;
};

using gpLoadOptions =
  std::variant<gpRunOptions, gpPlanOptions, gpReportOptions, gpHelpOptions>;

/// Parses the arguments without the program name (BadArgument).
absl::StatusOr<gpLoadOptions>
gpParseLoadOptions(const std::vector<std::string>& aArguments);

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "gpExperimentFile.h"
#include "gpIds.h"

/** \brief What the command line asks for.
 *
 * A family of plain aggregates shares this file.
 */

/** \class gpExperimentOptions
 * \brief Which experiment, with which values set otherwise.
 */
struct gpExperimentOptions
{
  /// Empty: defaults alone.
  std::string file_;
  std::vector<gpOverride> overrides_;
};

/** \class gpRunOptions
 * \brief `run`: send the jobs and judge the answers.
 */
struct gpRunOptions
{
  gpExperimentOptions experiment_;
  std::vector<gpAddress> entries_;
  std::vector<gpAddress> metricsAt_;
  std::string label_;
  /// First part of the submission keys; empty: one that is new each time.
  std::string runName_;
  /// Result file; empty: none.
  std::string out_;
  std::uint32_t attempts_ = 1;
  std::uint32_t connections_ = 1024;
  std::uint32_t jobsInFlight_ = 20000;
};

/** \class gpPlanOptions
 * \brief `plan`: say what would be sent and which response times are possible.
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
 * \brief `--help` or `--version`: print a text.
 */
struct gpHelpOptions
{
  std::string text_;
};

using gpLoadOptions =
  std::variant<gpRunOptions, gpPlanOptions, gpReportOptions, gpHelpOptions>;

/// Reads the arguments after the program's name (BadArgument).
absl::StatusOr<gpLoadOptions>
gpParseLoadOptions(const std::vector<std::string>& aArguments);

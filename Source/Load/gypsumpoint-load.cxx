#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "gpError.h"
#include "gpLoadCommands.h"
#include "gpLoadOptions.h"

namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

int
ExitCodeOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return kDone;
  }
  const gpErrorCode code = gpErrorCodeOf(aStatus);
  std::cerr << "gypsumpoint-load: " << gpErrorName(code) << ": "
            << gpErrorText(aStatus) << "\n";
  return code == gpErrorCode::BadArgument ? kUsage : kFailed;
}

/** \class CommandRunner
 * \brief Runs the command of the options and returns the exit code.
 */
struct CommandRunner
{
  int operator()(const gpRunOptions& aOptions) const
  {
    const auto result = gpRunLoad(aOptions);
    if (!result.ok()) {
      return ExitCodeOf(result.status());
    }
    return result->WrongAnswers() > 0 ? kFailed : kDone;
  }

  int operator()(const gpPlanOptions& aOptions) const
  {
    return ExitCodeOf(gpPrintPlan(aOptions));
  }

  int operator()(const gpReportOptions& aOptions) const
  {
    return ExitCodeOf(gpWriteReport(aOptions));
  }

  int operator()(const gpHelpOptions& aOptions) const
  {
    std::cout << aOptions.text_;
    return kDone;
  }
};

int
RunProgram(const std::vector<std::string>& aArguments)
{
  const auto options = gpParseLoadOptions(aArguments);
  if (!options.ok()) {
    return ExitCodeOf(options.status());
  }
  return std::visit(CommandRunner{}, *options);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return RunProgram({ aArguments + 1, aArguments + aCount });
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gypsumpoint-load: internal: %s\n", error.what());
    return kFailed;
  }
}

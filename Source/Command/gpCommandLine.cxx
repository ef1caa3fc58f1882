#include "gpCommandLine.h"

#include <algorithm>
#include <iomanip>
#include <memory>

#include "gpApplyCommand.h"
#include "gpBuildVersion.h"
#include "gpDiffCommand.h"
#include "gpDrainCommand.h"
#include "gpExplainCommand.h"
#include "gpJobCommand.h"
#include "gpShowCommand.h"
#include "gpStatusCommand.h"
#include "gpSubmitCommand.h"
#include "gpTimelineCommand.h"
#include "gpValidateCommand.h"

namespace {

namespace po = boost::program_options;

constexpr int kNameWidth = 10;

using Commands = std::vector<std::unique_ptr<gpCommand>>;

Commands
MakeCommands()
{
  Commands commands;
  commands.push_back(std::make_unique<gpValidateCommand>());
  commands.push_back(std::make_unique<gpApplyCommand>());
  commands.push_back(std::make_unique<gpShowCommand>());
  commands.push_back(std::make_unique<gpDiffCommand>());
  commands.push_back(std::make_unique<gpStatusCommand>());
  commands.push_back(std::make_unique<gpDrainCommand>());
  commands.push_back(std::make_unique<gpSubmitCommand>());
  commands.push_back(std::make_unique<gpJobCommand>());
  commands.push_back(std::make_unique<gpTimelineCommand>());
  commands.push_back(std::make_unique<gpExplainCommand>());
  return commands;
}

void
PrintCommands(const Commands& aCommands, std::ostream& aOut)
{
  aOut << "Usage: gypsumpoint COMMAND [ARGUMENTS]\n\nCommands:\n";
  for (const auto& command : aCommands) {
    aOut << "  " << std::left << std::setw(kNameWidth) << command->GetName()
         << command->GetSummary() << "\n";
  }
  aOut << "\ngypsumpoint COMMAND --help prints the options of a command.\n"
       << "gypsumpoint --version prints the version.\n"
       << "Exit codes: 0 success, 1 failure, 2 wrong usage.\n";
}

void
PrintUsage(const gpCommand& aCommand, std::ostream& aOut)
{
  aOut << "Usage: gypsumpoint " << aCommand.GetName() << " "
       << aCommand.GetUsage() << "\n";
}

void
PrintHelp(const gpCommand& aCommand,
          const gpCommandOptions& aOptions,
          std::ostream& aOut)
{
  PrintUsage(aCommand, aOut);
  aOut << aCommand.GetSummary() << "\n\n" << aOptions.named_;
}

gpExitCode
PrintVersion(std::ostream& aOut)
{
  aOut << "gypsumpoint " << gpBuildVersion() << "\n";
  return gpExitCode::Success;
}

gpCommandOptions
OptionsOf(const gpCommand& aCommand)
{
  gpCommandOptions options;
  aCommand.AddOptions(options);
  options.named_.add_options()("help,h", "print this text and exit");
  options.named_.add_options()("version", "print the version and exit");
  return options;
}

// Throws po::error if the arguments are invalid.
gpExitCode
RunCommand(const gpCommand& aCommand,
           const std::vector<std::string>& aArguments,
           gpConsole& aConsole)
{
  const gpCommandOptions options = OptionsOf(aCommand);
  po::options_description all;
  all.add(options.named_).add(options.unnamed_);
  constexpr int kStyle = po::command_line_style::unix_style &
                         ~po::command_line_style::allow_guessing;
  gpCommand::Values values;
  po::store(po::command_line_parser(aArguments)
              .options(all)
              .positional(options.positions_)
              .style(kStyle)
              .run(),
            values);
  if (values.count("help") > 0) {
    PrintHelp(aCommand, options, aConsole.out_);
    return gpExitCode::Success;
  }
  if (values.count("version") > 0) {
    return PrintVersion(aConsole.out_);
  }
  po::notify(values);
  return aCommand.Run(values, aConsole);
}

gpExitCode
RunOrPrintUsage(const gpCommand& aCommand,
                const std::vector<std::string>& aArguments,
                gpConsole& aConsole)
{
  try {
    return RunCommand(aCommand, aArguments, aConsole);
  } catch (const po::error& error) {
    aConsole.err_ << "gypsumpoint " << aCommand.GetName() << ": "
                  << error.what() << "\n";
    PrintUsage(aCommand, aConsole.err_);
    return gpExitCode::Usage;
  }
}

} // namespace

gpExitCode
gpRunCommandLine(const std::vector<std::string>& aArguments,
                 gpConsole& aConsole)
{
  const Commands commands = MakeCommands();
  const std::string name = aArguments.empty() ? "" : aArguments.front();
  if (name == "--help" || name == "-h") {
    PrintCommands(commands, aConsole.out_);
    return gpExitCode::Success;
  }
  if (name == "--version") {
    return PrintVersion(aConsole.out_);
  }
  const auto found =
    std::find_if(commands.begin(), commands.end(), [&](const auto& aCommand) {
      return aCommand->GetName() == name;
    });
  if (found == commands.end()) {
    aConsole.err_ << "gypsumpoint: "
                  << (name.empty() ? "no command was given"
                                   : "unknown command " + name)
                  << "\n";
    PrintCommands(commands, aConsole.err_);
    return gpExitCode::Usage;
  }
  return RunOrPrintUsage(
    **found, { aArguments.begin() + 1, aArguments.end() }, aConsole);
}

#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/program_options.hpp>

#include "gpIds.h"

/// The exit code of the program.
enum class gpExitCode
{
  Success = 0,
  Failure = 1,
  Usage = 2,
};

/** \class gpConsole
 * \brief The output streams of a command.
 */
struct gpConsole
{
  std::ostream& out_;
  std::ostream& err_;
};

/** \class gpCommandOptions
 * \brief The options and arguments that one subcommand accepts.
 */
struct gpCommandOptions
{
  /// Listed by --help.
  boost::program_options::options_description named_{ "Options" };
  /// Positional arguments; positions_ maps their positions to their names.
  boost::program_options::options_description unnamed_;
  boost::program_options::positional_options_description positions_;

  /// Adds a required option whose value is an address, such as --log.
  void AddAddress(const char* aName, const char* aHelp);
  /// Adds a required positional argument, after those added before.
  void AddArgument(const char* aName);
};

/** \class gpCommand
 * \brief One subcommand of the program.
 */
class gpCommand
{
public:
  using Values = boost::program_options::variables_map;

  gpCommand() = default;
  virtual ~gpCommand() = default;
  gpCommand(const gpCommand&) = delete;
  gpCommand& operator=(const gpCommand&) = delete;

  virtual std::string GetName() const = 0;
  /// One line of help for the list of commands.
  virtual std::string GetSummary() const = 0;
  /// The usage text after the command's name, such as "FILE --log IP:PORT".
  virtual std::string GetUsage() const = 0;
  virtual void AddOptions(gpCommandOptions& aOptions) const = 0;
  virtual gpExitCode Run(const Values& aValues, gpConsole& aConsole) const = 0;

protected:
  /// Prints an error as "gypsumpoint NAME: text" and returns Failure.
  gpExitCode Fail(gpConsole& aConsole, const std::string& aText) const;
  gpExitCode Fail(gpConsole& aConsole, const absl::Status& aStatus) const;
};

/// Parses an option value of type gpAddress. Any text that isn't an IP address
/// and a port is a usage error.
// NOLINTBEGIN(readability-identifier-naming): Boost.Program_options calls it by
// this name.
void
validate(boost::any& aTarget,
         const std::vector<std::string>& aTexts,
         gpAddress* aType,
         int aUnused);
// NOLINTEND(readability-identifier-naming)

/// The whole content of a file; returns Io if it can't be read.
absl::StatusOr<std::string>
gpReadFile(const std::string& aName);

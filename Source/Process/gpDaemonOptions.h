#pragma once

#include <string>

/// Exit codes of all programs.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

/** \class gpDaemonOptions
 * \brief The command line of an entry or a guard.
 */
struct gpDaemonOptions
{
  std::string configFile_;
  /// Set if the program should exit at once with exitCode_: after printing help
  /// or version, or because of an invalid command line.
  bool exit_ = false;
  int exitCode_ = kExitOk;

  /// Parses `--config FILE`, `--help` and `--version`; prints the help, the
  /// version or an error.
  static gpDaemonOptions Parse(int aCount,
                               char** aArguments,
                               const std::string& aProgram,
                               const std::string& aPurpose);
};

/// Reads a whole file into aText. If it can't be read, prints a message on the
/// standard error, leaves aText unchanged and returns false.
bool
gpReadFile(const std::string& aFile, std::string& aText);

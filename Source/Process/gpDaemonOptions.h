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
  /// Set if the program has only to end, with exitCode_.
  bool exit_ = false;
  int exitCode_ = kExitOk;

  /// Reads `--config FILE`, `--help` and `--version`; prints help, version and
  /// faults.
  static gpDaemonOptions Parse(int aCount,
                               char** aArguments,
                               const std::string& aProgram,
                               const std::string& aPurpose);
};

/// The whole text of a file; empty, with a message on the standard error, if
/// it can't be read.
bool
gpReadFile(const std::string& aFile, std::string& aText);

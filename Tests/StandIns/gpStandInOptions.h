#pragma once

#include <absl/status/status.h>
#include <boost/program_options/options_description.hpp>

#include "gpIds.h"

/** \class gpStandInOptions
 * \brief The options that all stand-ins share.
 */
struct gpStandInOptions
{
  /// Where the stand-in serves.
  gpAddress listen_;
  /// Where it takes its commands.
  gpAddress control_;
};

/// Reads the command line; aOwn holds the options of this stand-in only.
/// False after --help, and after an error, which is printed.
bool
gpParseStandInOptions(int aCount,
                      const char* const* aArguments,
                      const boost::program_options::options_description& aOwn,
                      gpStandInOptions& aOptions);

/// The exit code for the end of a stand-in; prints an error.
int
gpExitCode(const absl::Status& aStatus);

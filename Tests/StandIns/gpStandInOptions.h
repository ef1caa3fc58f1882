#pragma once

#include <absl/status/status.h>
#include <boost/program_options/options_description.hpp>

#include "gpIds.h"

/** \class gpStandInOptions
 * \brief Command-line options common to all stand-ins.
 */
struct gpStandInOptions
{
  /// Address of the service.
  gpAddress listen_;
  /// Address of the control interface.
  gpAddress control_;
};

/// Parses the command line; aOwn describes the options that are specific to
/// this stand-in. Returns false after --help and after an error, which is
/// printed.
bool
gpParseStandInOptions(int aCount,
                      const char* const* aArguments,
                      const boost::program_options::options_description& aOwn,
                      gpStandInOptions& aOptions);

/// Returns the exit code for the status, and prints the error if there is one.
int
gpExitCode(const absl::Status& aStatus);

#pragma once

#include "gpCommand.h"
#include "gpConfiguration.h"

/** \class gpConfigurationArgument
 * \brief The positional argument FILE, the name of a configuration file.
 */
class gpConfigurationArgument
{
public:
  static void AddTo(gpCommandOptions& aOptions);
  /// Reads and checks the file. The text of an error contains the file's name
  /// and, if the file is invalid, one line for each validation error.
  static absl::StatusOr<gpConfiguration> Read(const gpCommand::Values& aValues);
};

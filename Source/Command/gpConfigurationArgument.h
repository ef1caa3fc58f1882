#pragma once

#include "gpCommand.h"
#include "gpConfiguration.h"

/** \class gpConfigurationArgument
 * \brief The argument FILE that names a configuration file.
 */
class gpConfigurationArgument
{
public:
  static void AddTo(gpCommandOptions& aOptions);
  /// Reads and checks the file. The text of the status names the file and has
  /// a line for each fault.
  static absl::StatusOr<gpConfiguration> Read(const gpCommand::Values& aValues);
};

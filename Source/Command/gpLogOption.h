#pragma once

#include "gpBlockingNetwork.h"
#include "gpCommand.h"
#include "gpConfigurationLog.h"
#include "gpLogOverHttp.h"

/** \class gpLogOption
 * \brief The option --log, and the configuration log at that address.
 */
class gpLogOption
{
public:
  static void AddTo(gpCommandOptions& aOptions);
  explicit gpLogOption(const gpCommand::Values& aValues);

  gpConfigurationLog& GetLog() { return configurationLog_; }
  /// Applies a file with a new, random apply ID. The returned text, or that of
  /// the error, describes the result for the operator.
  absl::StatusOr<std::string> Apply(const gpConfiguration& aFile,
                                    std::optional<gpConfigVersion> aBase);

private:
  gpBlockingNetwork network_;
  gpLogOverHttp access_;
  gpConfigurationLog configurationLog_;
};

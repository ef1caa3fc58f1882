#pragma once

#include "gpCommand.h"
#include "gpConfigurationLog.h"
#include "gpLogOverHttp.h"
#include "gpNetwork.h"

/** \class gpLogOption
 * \brief The option --log, and the configuration log that it names.
 */
class gpLogOption
{
public:
  static void AddTo(gpCommandOptions& aOptions);
  explicit gpLogOption(const gpCommand::Values& aValues);

  gpConfigurationLog& GetLog() { return configurationLog_; }
  /// Applies a file under a new apply ID. The text, or that of the error, says
  /// how it ended.
  absl::StatusOr<std::string> Apply(const gpConfiguration& aFile,
                                    std::optional<gpConfigVersion> aBase);

private:
  gpNetwork network_;
  gpLogOverHttp access_;
  gpConfigurationLog configurationLog_;
};

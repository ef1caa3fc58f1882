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

private:
  gpNetwork network_;
  gpLogOverHttp access_;
  gpConfigurationLog configurationLog_;
};

/// A random ID that no other apply has.
gpApplyId
gpDrawApplyId();

/// Says how an apply ended, in one line or more.
std::string
gpApplyText(const gpApplyResult& aResult, const gpApplyId& aApplyId);

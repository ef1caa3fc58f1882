#pragma once

#include "gpCommand.h"
#include "gpNetwork.h"

/** \class gpEntryAnswer
 * \brief The option --entry, and the answer of a job from there.
 */
class gpEntryAnswer
{
public:
  static void AddTo(gpCommandOptions& aOptions);
  /// Sends a request that is answered by a job's answer. The error is that of
  /// gpHttpClient, or that of gpParseAnswer.
  static absl::StatusOr<gpHttpResponse> Get(const gpCommand::Values& aValues,
                                            gpHttpRequest aRequest,
                                            gpMillis aTimeout);
  /// Prints an answer; Success only if it's complete.
  static gpExitCode Print(const gpHttpResponse& aResponse, gpConsole& aConsole);
};

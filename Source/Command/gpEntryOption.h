#pragma once

#include "gpBlockingNetwork.h"
#include "gpCommand.h"

/** \class gpEntryOption
 * \brief The option --entry, and requests for a job's answer to that entry.
 */
class gpEntryOption
{
public:
  static void AddTo(gpCommandOptions& aOptions);
  /// Sends a request whose response is a job's answer, and waits for the
  /// response. Errors are those of gpHttpClient; their text says whether the
  /// request was sent.
  static absl::StatusOr<gpHttpResponse> Get(const gpCommand::Values& aValues,
                                            gpHttpRequest aRequest,
                                            gpMillis aTimeout);
  /// Prints the response. Returns Success only if the answer is gpComplete.
  static gpExitCode Print(const gpHttpResponse& aResponse, gpConsole& aConsole);
};

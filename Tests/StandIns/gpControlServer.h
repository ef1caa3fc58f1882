#pragma once

#include <functional>
#include <string>

#include <absl/status/status.h>

#include "gpHttpServer.h"
#include "gpIds.h"

class gpEventLoop;

/// Prints the line that tells the test where the stand-in listens.
void
gpPrintListening(const std::string& aPurpose, const gpAddress& aAddress);

/** \class gpControlServer
 * \brief Serves /control of a stand-in.
 */
class gpControlServer
{
public:
  struct Handlers
  {
    /// A POST with this body; an error is answered 400.
    std::function<absl::Status(const std::string&)> apply_;
    /// The JSON text that a GET with this target is answered.
    std::function<std::string(const std::string&)> show_;
  };

  gpControlServer(gpEventLoop& aLoop, Handlers aHandlers);

  /// Listens and prints where.
  absl::Status Listen(const gpAddress& aAddress);

private:
  void OnRequest(gpRequestId aId, const gpHttpRequest& aRequest);

  Handlers handlers_;
  gpHttpServer server_;
};

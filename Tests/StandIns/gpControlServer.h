#pragma once

#include <functional>
#include <string>

#include <absl/status/status.h>

#include "gpHttpServer.h"
#include "gpIds.h"

class gpEventLoop;

/// Prints a JSON line from which the test reads the address of a listener.
void
gpPrintListening(const std::string& aPurpose, const gpAddress& aAddress);

/** \class gpControlServer
 * \brief HTTP server for the control interface (/control) of a stand-in.
 */
class gpControlServer
{
public:
  struct Handlers
  {
    /// Applies the body of a POST. An error is returned with status 400.
    std::function<absl::Status(const std::string&)> apply_;
    /// Returns the JSON text that answers a GET with this request target.
    std::function<std::string(const std::string&)> show_;
  };

  gpControlServer(gpEventLoop& aLoop, Handlers aHandlers);

  /// Starts to listen and prints the bound address.
  absl::Status Listen(const gpAddress& aAddress);

private:
  void OnRequest(gpRequestId aId, const gpHttpRequest& aRequest);

  Handlers handlers_;
  gpHttpServer server_;
};

#pragma once

#include <functional>

#include <absl/status/statusor.h>

#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpStandInOptions.h"

/// Starts to listen at the address; returns the bound address.
using gpListen =
  std::function<absl::StatusOr<gpAddress>(const gpAddress& aAddress)>;

/// Starts the service and the control interface of a stand-in, and prints the
/// addresses of both. Returns the address of the service.
absl::StatusOr<gpAddress>
gpOpenStandIn(const gpStandInOptions& aOptions,
              const gpListen& aListen,
              gpControlServer& aControl);

/// Calls gpOpenStandIn() and runs the event loop until SIGTERM.
absl::Status
gpServeStandIn(gpEventLoop& aLoop,
               const gpStandInOptions& aOptions,
               const gpListen& aListen,
               gpControlServer& aControl);

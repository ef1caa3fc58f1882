#pragma once

#include <functional>

#include <absl/status/statusor.h>

#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpStandInOptions.h"

/// Listens at the address; returns the one in use.
using gpListen =
  std::function<absl::StatusOr<gpAddress>(const gpAddress& aAddress)>;

/// Opens a stand-in's service and its control, and prints where both listen.
/// Returns the address of the service.
absl::StatusOr<gpAddress>
gpOpenStandIn(const gpStandInOptions& aOptions,
              const gpListen& aListen,
              gpControlServer& aControl);

/// Likewise, and serves until SIGTERM.
absl::Status
gpServeStandIn(gpEventLoop& aLoop,
               const gpStandInOptions& aOptions,
               const gpListen& aListen,
               gpControlServer& aControl);

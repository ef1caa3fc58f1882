#include "gpServeStandIn.h"

absl::StatusOr<gpAddress>
gpOpenStandIn(const gpStandInOptions& aOptions,
              const gpListen& aListen,
              gpControlServer& aControl)
{
  absl::StatusOr<gpAddress> address = aListen(aOptions.listen_);
  if (!address.ok()) {
    return address;
  }
  gpPrintListening("service", *address);
  if (absl::Status status = aControl.Listen(aOptions.control_); !status.ok()) {
    return status;
  }
  return address;
}

absl::Status
gpServeStandIn(gpEventLoop& aLoop,
               const gpStandInOptions& aOptions,
               const gpListen& aListen,
               gpControlServer& aControl)
{
  const auto address = gpOpenStandIn(aOptions, aListen, aControl);
  if (!address.ok()) {
    return address.status();
  }
  aLoop.OnTerminate([&] { aLoop.Stop(); });
  aLoop.Run();
  return absl::OkStatus();
}

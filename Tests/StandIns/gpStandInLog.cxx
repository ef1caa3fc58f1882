// gp-stand-in-log: takes the place of the platform's log service.

#include <string>

#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpLogControl.h"
#include "gpLogStandIn.h"
#include "gpStandInOptions.h"
#include "gpTimerService.h"

namespace {

absl::Status
Run(const gpStandInOptions& aOptions)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  gpLogStandIn log(loop, timers);
  gpControlServer control(
    loop,
    { .apply_ =
        [&](const std::string& aBody) { return gpApplyLogCommand(log, aBody); },
      .show_ =
        [&](const std::string& /*aTarget*/) { return gpShowLog(log); } });
  const absl::StatusOr<gpAddress> address = log.Listen(aOptions.listen_);
  if (!address.ok()) {
    return address.status();
  }
  gpPrintListening("service", *address);
  if (absl::Status status = control.Listen(aOptions.control_); !status.ok()) {
    return status;
  }
  loop.OnTerminate([&] { loop.Stop(); });
  loop.Run();
  return absl::OkStatus();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const boost::program_options::options_description own("gp-stand-in-log");
  gpStandInOptions options;
  if (!gpParseStandInOptions(aCount, aArguments, own, options)) {
    return 2;
  }
  return gpExitCode(Run(options));
}

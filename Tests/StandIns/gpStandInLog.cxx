// gp-stand-in-log: replaces the platform's log service in tests.

#include <string>

#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpLogControl.h"
#include "gpLogStandIn.h"
#include "gpServeStandIn.h"
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
  return gpServeStandIn(
    loop,
    aOptions,
    [&](const gpAddress& aAddress) { return log.Listen(aAddress); },
    control);
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

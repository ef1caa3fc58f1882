// gp-stand-in-proxy: a TCP proxy that injects faults on command.

#include <string>

#include <boost/program_options/value_semantic.hpp>

#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpFaultProxy.h"
#include "gpProxyControl.h"
#include "gpServeStandIn.h"
#include "gpStandInOptions.h"
#include "gpTimerService.h"

namespace {

absl::Status
Run(const gpStandInOptions& aOptions, const gpAddress& aServer)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  gpFaultProxy proxy(loop, timers);
  gpControlServer control(
    loop,
    { .apply_ =
        [&](const std::string& aBody) {
          return gpApplyProxyCommand(proxy, aBody);
        },
      .show_ =
        [&](const std::string& /*aTarget*/) { return gpShowProxy(proxy); } });
  if (absl::Status status = proxy.SetServer(aServer); !status.ok()) {
    return status;
  }
  return gpServeStandIn(
    loop,
    aOptions,
    [&](const gpAddress& aAddress) { return proxy.Listen(aAddress); },
    control);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gpAddress server;
  boost::program_options::options_description own("gp-stand-in-proxy");
  own.add_options()(
    "to",
    boost::program_options::value(&server.value_)->default_value("127.0.0.1:0"),
    "IP:PORT of the server; can be changed later through /control");
  gpStandInOptions options;
  if (!gpParseStandInOptions(aCount, aArguments, own, options)) {
    return 2;
  }
  return gpExitCode(Run(options, server));
}

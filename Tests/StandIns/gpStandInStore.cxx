// gp-stand-in-store: replaces the platform's metadata store in tests.

#include <string>

#include <boost/json.hpp>

#include "gpControlFields.h"
#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpServeStandIn.h"
#include "gpStandInOptions.h"
#include "gpStoreStandIn.h"
#include "gpTimerService.h"

namespace {

bool
ReadMode(const boost::json::value& aValue, gpStoreStandIn& aStore)
{
  const std::string name =
    aValue.is_string() ? std::string(aValue.get_string()) : "";
  if (name == "serve") {
    aStore.SetMode(gpStoreMode::Serve);
  } else if (name == "refuse") {
    aStore.SetMode(gpStoreMode::Refuse);
  } else if (name == "hang") {
    aStore.SetMode(gpStoreMode::Hang);
  } else {
    return false;
  }
  return true;
}

/// Applies a control command:
/// {"configuration": {...}},
/// {"mode": "serve" | "refuse" | "hang"} or
/// {"trim": "TOPIC"}.
absl::Status
Apply(gpStoreStandIn& aStore, const std::string& aBody)
{
  return gpReadFields(
    aBody,
    { { "configuration",
        [&](const boost::json::value& aValue) {
          aStore.Put("keyed.op", "config", boost::json::serialize(aValue));
          return true;
        } },
      { "mode",
        [&](const boost::json::value& aValue) {
          return ReadMode(aValue, aStore);
        } },
      { "trim", [&](const boost::json::value& aValue) {
         aStore.Trim(std::string(aValue.as_string()));
         return true;
       } } });
}

absl::Status
Run(const gpStandInOptions& aOptions)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  gpStoreStandIn store(loop, timers);
  gpControlServer control(
    loop,
    { .apply_ = [&](const std::string& aBody) { return Apply(store, aBody); },
      .show_ =
        [&](const std::string& /*aTarget*/) {
          return R"({"calls":)" + std::to_string(store.CountCalls()) + "}";
        } });
  return gpServeStandIn(
    loop,
    aOptions,
    [&](const gpAddress& aAddress) { return store.Listen(aAddress); },
    control);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const boost::program_options::options_description own("gp-stand-in-store");
  gpStandInOptions options;
  if (!gpParseStandInOptions(aCount, aArguments, own, options)) {
    return 2;
  }
  return gpExitCode(Run(options));
}

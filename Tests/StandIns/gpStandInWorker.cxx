// gp-stand-in-worker: replaces a worker of the platform in tests.

#include <string>

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>

#include "gpControlFields.h"
#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpServeStandIn.h"
#include "gpStandInOptions.h"
#include "gpTimerService.h"
#include "gpWorkerStandIn.h"

namespace {

/// Applies a control command: {"guard": "IP:PORT"}, {"draining": true},
/// {"lose_starts": 2} or {"lose_stops": 2}.
absl::Status
Apply(gpWorkerStandIn& aWorker, const std::string& aBody)
{
  return gpReadFields(
    aBody,
    { { "guard",
        [&](const boost::json::value& aValue) {
          aWorker.SetGuard(gpAddress(std::string(aValue.as_string())));
          return true;
        } },
      { "draining",
        [&](const boost::json::value& aValue) {
          aWorker.SetDraining(aValue.as_bool());
          return true;
        } },
      { "lose_starts",
        [&](const boost::json::value& aValue) {
          aWorker.LoseStarts(aValue.to_number<std::uint64_t>());
          return true;
        } },
      { "lose_stops", [&](const boost::json::value& aValue) {
         aWorker.LoseStops(aValue.to_number<std::uint64_t>());
         return true;
       } } });
}

absl::Status
Run(const gpStandInOptions& aOptions, const std::string& aJournal)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  gpWorkerStandIn worker(loop, timers);
  gpControlServer control(
    loop,
    { .apply_ = [&](const std::string& aBody) { return Apply(worker, aBody); },
      .show_ =
        [&](const std::string& /*aTarget*/) {
          return boost::json::serialize(worker.Show());
        } });
  if (!aJournal.empty()) {
    if (absl::Status status = worker.OpenJournal(aJournal); !status.ok()) {
      return status;
    }
  }
  return gpServeStandIn(
    loop,
    aOptions,
    [&](const gpAddress& aAddress) { return worker.Listen(aAddress); },
    control);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::string journal;
  boost::program_options::options_description own("gp-stand-in-worker");
  own.add_options()("journal",
                    boost::program_options::value(&journal),
                    "file that records the starts and ends of runs");
  gpStandInOptions options;
  if (!gpParseStandInOptions(aCount, aArguments, own, options)) {
    return 2;
  }
  return gpExitCode(Run(options, journal));
}

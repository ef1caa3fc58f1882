// gp-stand-in-target: an HTTP target that counts how often each task starts.

#include <cstddef>
#include <optional>
#include <string>

#include <boost/json.hpp>
#include <boost/program_options/value_semantic.hpp>

#include "gpControlServer.h"
#include "gpEventLoop.h"
#include "gpServeStandIn.h"
#include "gpStandInOptions.h"
#include "gpTargetAnnouncer.h"
#include "gpTargetControl.h"
#include "gpTargetStandIn.h"

namespace {

/// Options specific to this stand-in.
struct TargetOptions
{
  std::size_t slots_ = 0;
  double speed_ = 0;
  std::string service_;
  std::string announceTo_;
  std::string journal_;
};

boost::program_options::options_description
DescribeOptions(TargetOptions& aOptions)
{
  using boost::program_options::value;
  boost::program_options::options_description own("gp-stand-in-target");
  own.add_options()("slots",
                    value(&aOptions.slots_)->default_value(8),
                    "maximum number of concurrent tasks; others wait")(
    "speed",
    value(&aOptions.speed_)->default_value(1),
    "factor by which run times are multiplied")(
    "service",
    value(&aOptions.service_),
    "name of the service that the target announces")(
    "announce-to",
    value(&aOptions.announceTo_),
    "IP:PORT of the guard to announce to")(
    "journal",
    value(&aOptions.journal_),
    "file that records one line per task start");
  return own;
}

std::string
Announcement(const TargetOptions& aOptions, const gpAddress& aAddress)
{
  return boost::json::serialize(
    boost::json::object{ { "service", aOptions.service_ },
                         { "address", aAddress.value_ },
                         { "slots", aOptions.slots_ } });
}

/// Announces the target, if a guard is set, and serves requests. On SIGTERM,
/// notifies the guard that the target is leaving, and drains before it returns.
void
Serve(gpEventLoop& aLoop,
      gpTimerService& aTimers,
      gpTargetStandIn& aTarget,
      const TargetOptions& aOptions,
      const gpAddress& aAddress)
{
  gpHttpClient client(aLoop, 2);
  gpTargetAnnouncer announcer(aTimers,
                              client,
                              gpAddress(aOptions.announceTo_),
                              Announcement(aOptions, aAddress));
  const auto drain = [&] { aTarget.Drain([&] { aLoop.Stop(); }); };
  const bool announces = !aOptions.announceTo_.empty();
  if (announces) {
    announcer.Announce();
  }
  aLoop.OnTerminate([&] {
    if (announces) {
      announcer.Leave(drain);
    } else {
      drain();
    }
  });
  aLoop.Run();
}

absl::Status
Run(const gpStandInOptions& aShared, const TargetOptions& aOptions)
{
  gpEventLoop loop;
  gpTimerService timers(loop);
  gpTargetJournal journal;
  gpTargetStandIn target(loop, timers, journal, aOptions.slots_);
  gpControlServer control(
    loop,
    { .apply_ =
        [&](const std::string& aBody) {
          return gpApplyTargetCommand(target, aBody);
        },
      .show_ =
        [&](const std::string& aUrl) { return gpShowTarget(target, aUrl); } });
  if (!aOptions.journal_.empty()) {
    if (absl::Status status = journal.Open(aOptions.journal_); !status.ok()) {
      return status;
    }
  }
  target.SetBehaviour({ .speed_ = aOptions.speed_ });
  const auto address = gpOpenStandIn(
    aShared,
    [&](const gpAddress& aAddress) { return target.Listen(aAddress); },
    control);
  if (!address.ok()) {
    return address.status();
  }
  Serve(loop, timers, target, aOptions, *address);
  return absl::OkStatus();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  TargetOptions own;
  gpStandInOptions shared;
  if (!gpParseStandInOptions(
        aCount, aArguments, DescribeOptions(own), shared)) {
    return 2;
  }
  return gpExitCode(Run(shared, own));
}

#include "gpProxyControl.h"

#include <cstdint>
#include <functional>
#include <map>

#include <boost/json.hpp>

#include "gpControlFields.h"
#include "gpError.h"
#include "gpFaultProxy.h"

namespace {

/// The fields of a POST /control.
struct ProxyCommand
{
  std::string mode_;
  std::string direction_ = "both";
  std::string connections_ = "all";
  std::uint32_t delayMs_ = 0;
  std::string server_;
};

const std::map<std::string, gpFaultMode> kFaultModes = {
  { "pass", gpFaultMode::Pass },
  { "delay", gpFaultMode::Delay },
  { "hold", gpFaultMode::Hold },
  { "drop", gpFaultMode::Drop },
};

using Action = std::function<absl::Status(gpFaultProxy&)>;

const std::map<std::string, Action> kActions = {
  { "cut",
    [](gpFaultProxy& aProxy) {
      aProxy.Cut();
      return aProxy.SetRefusing(false);
    } },
  { "refuse", [](gpFaultProxy& aProxy) { return aProxy.SetRefusing(true); } },
  { "duplicate",
    [](gpFaultProxy& aProxy) {
      aProxy.SetFaults({});
      aProxy.SetRecording(true);
      return aProxy.SetRefusing(false);
    } },
  { "replay", [](gpFaultProxy& aProxy) { return aProxy.Replay(); } },
  { "repeat",
    [](gpFaultProxy& aProxy) {
      aProxy.Repeat();
      return absl::OkStatus();
    } },
};

absl::Status
SetFault(gpFaultProxy& aProxy, const ProxyCommand& aCommand, gpFaultMode aMode)
{
  const std::string& direction = aCommand.direction_;
  if (direction != "both" && direction != "to_server" &&
      direction != "to_client") {
    return gpMakeError(gpErrorCode::BadRequest,
                       "unknown direction: " + direction);
  }
  if (aCommand.connections_ != "all" && aCommand.connections_ != "open") {
    return gpMakeError(gpErrorCode::BadRequest,
                       "unknown value of connections: " +
                         aCommand.connections_);
  }
  gpFaults faults = aProxy.GetFaults();
  const gpFault fault{ .mode_ = aMode, .delay_ = gpMillis(aCommand.delayMs_) };
  if (direction != "to_client") {
    faults.toServer_ = fault;
  }
  if (direction != "to_server") {
    faults.toClient_ = fault;
  }
  if (aCommand.connections_ == "open") {
    aProxy.SetOpenConnectionFaults(faults);
    return absl::OkStatus();
  }
  aProxy.SetFaults(faults);
  aProxy.SetRecording(false);
  return aProxy.SetRefusing(false);
}

boost::json::object
CountsToJson(const gpFaultCounts& aCounts)
{
  return { { "received_bytes", aCounts.received_ },
           { "forwarded_bytes", aCounts.forwarded_ },
           { "waiting_bytes", aCounts.waiting_ },
           { "dropped_bytes", aCounts.dropped_ } };
}

} // namespace

absl::Status
gpApplyProxyCommand(gpFaultProxy& aProxy, const std::string& aBody)
{
  ProxyCommand command;
  absl::Status status =
    gpReadFields(aBody,
                 { { "mode", gpReadInto(command.mode_) },
                   { "direction", gpReadInto(command.direction_) },
                   { "connections", gpReadInto(command.connections_) },
                   { "delay_ms", gpReadInto(command.delayMs_) },
                   { "to", gpReadInto(command.server_) } });
  if (status.ok() && !command.server_.empty()) {
    status = aProxy.SetServer(gpAddress(command.server_));
  }
  if (!status.ok() || command.mode_.empty()) {
    return status;
  }
  if (const auto mode = kFaultModes.find(command.mode_);
      mode != kFaultModes.end()) {
    return SetFault(aProxy, command, mode->second);
  }
  if (const auto action = kActions.find(command.mode_);
      action != kActions.end()) {
    return action->second(aProxy);
  }
  return gpMakeError(gpErrorCode::BadRequest, "unknown mode: " + command.mode_);
}

std::string
gpShowProxy(const gpFaultProxy& aProxy)
{
  const gpProxyCounts counts = aProxy.GetCounts();
  return boost::json::serialize(boost::json::object{
    { "open", counts.open_ },
    { "accepted", counts.accepted_ },
    { "cut", counts.cut_ },
    { "replays", counts.replays_ },
    { "replays_ended", counts.replaysEnded_ },
    { "to_server", CountsToJson(counts.toServer_) },
    { "to_client", CountsToJson(counts.toClient_) },
  });
}

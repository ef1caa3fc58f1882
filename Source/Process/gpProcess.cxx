#include "gpProcess.h"

#include <utility>

#include "gpServerLimits.h"

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
/// Limit of the wait for connections to close at a shutdown, since a caller may
/// not read its answer.
constexpr gpMillis kDrainTime{ 5000 };
/// Pause between two requests for a newer configuration and roster.
constexpr gpMillis kUpdateRequestPeriod{ 1000 };

gpLinkSettings
MakeLinkSettings(const gpTimings& aTimings)
{
  gpLinkSettings settings;
  settings.heartbeat_ = aTimings.heartbeat_;
  settings.silence_ = aTimings.linkSilence_;
  return settings;
}

gpNodeOptions
MakeNodeOptions(const gpProcessOptions& aOptions, std::size_t aConnections)
{
  gpNodeOptions options;
  options.role_ = aOptions.role_;
  options.name_ = aOptions.name_;
  options.linkListen_ = aOptions.linkListen_;
  options.linkAdvertise_ = aOptions.linkAdvertise_;
  options.eventLog_ = aOptions.eventLog_;
  options.links_ = MakeLinkSettings(aOptions.timings_);
  gpSetLinkLimits(aOptions.limits_, options.links_);
  options.connections_ = aConnections;
  return options;
}

} // namespace

gpProcess::gpProcess(gpProcessOptions aOptions,
                     std::size_t aConnections,
                     Handlers aHandlers)
  : gpNode(MakeNodeOptions(aOptions, aConnections), std::move(aHandlers.links_))
  , http_(loop_,
          gpMakeClientPortLimits(aOptions.limits_),
          AddLimitHandler(std::move(aHandlers.http_)))
  , log_(loop_, timers_, httpClient_, aOptions.logService_)
  , streams_(timers_, log_, std::move(aHandlers.streams_))
  , rosterWriter_(timers_, log_, streams_)
  , options_(std::move(aOptions))
{
}

gpHttpServer::Handlers
gpProcess::AddLimitHandler(gpHttpServer::Handlers aHandlers)
{
  aHandlers.limitReached_ = MakeLimitHandler("http");
  return aHandlers;
}

absl::Status
gpProcess::Open()
{
  absl::Status status = OpenLinks();
  if (!status.ok()) {
    return status;
  }
  RequestUpdatesPeriodically();
  const auto http = http_.Listen(options_.httpListen_);
  if (!http.ok()) {
    return http.status();
  }
  NoteListening("http", *http);
  return status;
}

void
gpProcess::NoteRejected(const gpConfigurationEvent& aEvent)
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ConfigurationRejected;
  event.number_ = aEvent.version_.value_;
  event.detail_ = std::string(gpVerdictName(aEvent.verdict_));
  Write(event);
}

void
gpProcess::NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer)
{
  gpNode::NoteLinkOpened(aLink, aPeer);
  if (!streams_.IsLogAvailable()) {
    RequestUpdate(aLink);
  }
}

bool
gpProcess::HandleUpdate(gpLinkId aLink, const gpMessage& aMessage)
{
  if (const auto* request = std::get_if<gpUpdateRequest>(&aMessage)) {
    AnswerUpdateRequest(aLink, *request);
    return true;
  }
  if (const auto* update = std::get_if<gpConfigurationUpdate>(&aMessage)) {
    streams_.Adopt(*update);
    return true;
  }
  if (const auto* update = std::get_if<gpRosterUpdate>(&aMessage)) {
    streams_.Adopt(*update);
    return true;
  }
  return false;
}

void
gpProcess::RequestUpdate(gpLinkId aLink)
{
  Send(aLink,
       gpUpdateRequest{ streams_.GetConfiguration().version_,
                        streams_.GetRoster().epoch_ });
}

void
gpProcess::AnswerUpdateRequest(gpLinkId aLink, const gpUpdateRequest& aRequest)
{
  auto configuration = streams_.MakeConfigurationUpdate();
  if (configuration.has_value() &&
      configuration->version_ > aRequest.version_) {
    Send(aLink, std::move(*configuration));
  }
  auto roster = streams_.MakeRosterUpdate();
  if (roster.has_value() && aRequest.epoch_ == gpRosterEpoch{}) {
    Send(aLink, std::move(*roster));
  }
}

void
gpProcess::RequestUpdatesPeriodically()
{
  timers_.Subscribe(gpEventLoop::Now() + kUpdateRequestPeriod,
                    [this] { RequestUpdatesPeriodically(); });
  if (streams_.IsLogAvailable() || GetPeers().empty()) {
    return;
  }
  auto next = GetPeers().upper_bound(lastRequestLink_);
  if (next == GetPeers().end()) {
    next = GetPeers().begin();
  }
  lastRequestLink_ = next->first;
  RequestUpdate(lastRequestLink_);
}

bool
gpProcess::AnswerCommon(gpRequestId aRequest,
                        const gpHttpRequest& aHttp,
                        bool aReady,
                        const std::string& aStatusFields)
{
  gpHttpResponse response;
  if (aHttp.method_ != "GET") {
    return false;
  }
  if (aHttp.target_ == "/healthz") {
    response.body_ = R"({"healthy":true})";
  } else if (aHttp.target_ == "/readyz") {
    response.status_ = aReady ? kOk : kUnavailable;
    response.body_ = aReady ? R"({"ready":true})" : R"({"ready":false})";
  } else if (aHttp.target_ == "/metrics") {
    response.contentType_ = "text/plain; version=0.0.4";
    response.body_ = RenderMetrics();
  } else if (aHttp.target_ == "/v1/status") {
    response.body_ = RenderStatus(aStatusFields);
  } else {
    return false;
  }
  http_.Respond(aRequest, std::move(response));
  return true;
}

void
gpProcess::StopGracefully()
{
  gpNode::StopGracefully(
    [this](std::function<void()> aClosed) { http_.Drain(std::move(aClosed)); },
    kDrainTime);
}

std::string
gpProcess::RenderStatus(const std::string& aFields) const
{
  const gpVersionedConfiguration& configuration = streams_.GetConfiguration();
  return R"({"process":")" + options_.name_ + R"(","role":")" +
         std::string(gpRoleName(options_.role_)) + R"(","incarnation":")" +
         gpIncarnationText(GetSelf().incarnation_) +
         R"(","configuration_version":)" +
         std::to_string(configuration.version_.value_) + R"(,"apply_id":")" +
         configuration.applyId_.value_ + R"(","roster_epoch":)" +
         std::to_string(streams_.GetRoster().epoch_.value_) +
         R"(,"log_available":)" +
         (streams_.IsLogAvailable() ? "true" : "false") + R"(,"members":)" +
         std::to_string(streams_.GetRoster().members_.size()) + aFields + "}";
}

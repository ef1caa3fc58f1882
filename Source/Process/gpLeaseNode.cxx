#include "gpLeaseNode.h"

#include <chrono>
#include <utility>

#include "gpLeaseSettingsFile.h"
#include "gpLeaseTimings.h"
#include "gpServerLimits.h"

namespace {

constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
/// The process must end within this percentage of the grace time, before the
/// platform kills it.
constexpr int kShutdownPercent = 85;
constexpr int kPercent = 100;
/// Limit of the wait for connections to close at a shutdown, since a caller may
/// not read its answer.
constexpr gpMillis kDrainTime{ 300 };
/// Connections to the target or the store; either accepts up to 64.
constexpr std::size_t kConnections = 48;
constexpr gpMillis kConnectTimeout{ 300 };
constexpr gpMillis kRedialPause{ 100 };
constexpr const char* kReadyPath = "/v1/readyz";
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kStatusPath = "/v1/status";

gpNodeOptions
MakeNodeOptions(const gpLeaseSettings& aSettings, gpRole aRole)
{
  gpNodeOptions options;
  options.role_ = aRole;
  options.name_ = aSettings.name_;
  options.linkListen_ = aSettings.linkListen_;
  options.linkAdvertise_ = aSettings.linkAdvertise_;
  options.eventLog_ = aSettings.eventLog_;
  options.links_.heartbeat_ = kLinkHeartbeat;
  options.links_.silence_ = kLinkSilence;
  options.links_.connectTimeout_ = kConnectTimeout;
  options.links_.redial_ = kRedialPause;
  gpSetLinkLimits(aSettings.limits_, options.links_);
  options.connections_ = kConnections;
  return options;
}

} // namespace

gpLeaseNode::gpLeaseNode(const gpLeaseSettings& aSettings,
                         gpRole aRole,
                         gpLinkService::Handlers aLinks,
                         StatusHandlers aStatus)
  : gpNode(MakeNodeOptions(aSettings, aRole), std::move(aLinks))
  , statusServer_(loop_,
                  gpMakeStatusPortLimits(aSettings.limits_),
                  MakeStatusHandlers(statusServer_, "status"))
  , metricsServer_(loop_,
                   gpMakeStatusPortLimits(aSettings.limits_),
                   MakeStatusHandlers(metricsServer_, "metrics"))
  , settings_(aSettings)
  , statusHandlers_(std::move(aStatus))
{
}

std::uint64_t
gpLeaseNode::FirstNumber()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<gpMillis>(now).count());
}

gpMillis
gpLeaseNode::GetShutdownTime() const
{
  return settings_.grace_ * kShutdownPercent / kPercent;
}

absl::Status
gpLeaseNode::OpenNode()
{
  absl::Status status = OpenLinks();
  if (!status.ok()) {
    return status;
  }
  status = ListenForStatus(statusServer_, "status", settings_.statusListen_);
  if (status.ok() && !settings_.metricsListen_.value_.empty()) {
    status =
      ListenForStatus(metricsServer_, "metrics", settings_.metricsListen_);
  }
  return status;
}

absl::Status
gpLeaseNode::ListenForStatus(gpHttpServer& aServer,
                             const char* aPurpose,
                             const gpAddress& aAddress)
{
  const auto listening = aServer.Listen(aAddress);
  if (listening.ok()) {
    NoteListening(aPurpose, *listening);
  }
  return listening.status();
}

gpHttpServer::Handlers
gpLeaseNode::MakeStatusHandlers(gpHttpServer& aServer, const char* aPurpose)
{
  return { [this, &aServer](gpRequestId aRequest, const gpHttpRequest& aHttp) {
            aServer.Respond(aRequest, AnswerStatus(aHttp));
          },
           [](gpRequestId) {},
           MakeLimitHandler(aPurpose) };
}

void
gpLeaseNode::WatchSettings(const std::string& aFile, const std::string& aText)
{
  settingsFile_ = aFile;
  watch_.emplace(
    loop_, timers_, aFile, aText, [this](const std::string& aNewText) {
      OnSettings(aNewText);
    });
}

void
gpLeaseNode::OnSettings(const std::string& aText)
{
  const auto settings =
    gpParseLeaseSettings(settingsFile_, aText, GetSelf().role_);
  gpTimelineEvent event;
  event.kind_ = settings.ok() ? gpEventKind::SettingsReloaded
                              : gpEventKind::SettingsRejected;
  event.detail_ = settings.ok() ? "" : gpErrorText(settings.status());
  Write(event);
  if (settings.ok()) {
    OnEntriesFound(settings->entries_);
  }
}

bool
gpLeaseNode::Execute(gpLeaseEffect& aEffect,
                     const std::function<void()>& aOnWake)
{
  if (auto* send = std::get_if<gpSend>(&aEffect)) {
    Send(send->link_, std::move(send->message_));
  } else if (const auto* watch = std::get_if<gpWatchAddress>(&aEffect)) {
    links_.Watch(watch->address_);
  } else if (const auto* unwatch = std::get_if<gpUnwatchAddress>(&aEffect)) {
    links_.Unwatch(unwatch->address_);
  } else if (const auto* close = std::get_if<gpCloseLink>(&aEffect)) {
    links_.Close(close->link_);
  } else if (const auto* wake = std::get_if<gpWakeAt>(&aEffect)) {
    WakeAt(wake->when_, aOnWake);
  } else if (const auto* write = std::get_if<gpWriteTimeline>(&aEffect)) {
    Write(write->event_);
  } else if (std::holds_alternative<gpStop>(aEffect)) {
    StopGracefully(
      [this](std::function<void()> aClosed) {
        CloseServers(std::move(aClosed));
      },
      kDrainTime);
  } else {
    return false;
  }
  return true;
}

bool
gpLeaseNode::IsNewer(gpConfigVersion aVersion) const
{
  return !configuration_.has_value() || aVersion > configuration_->version_;
}

bool
gpLeaseNode::KeepConfiguration(gpConfigurationUpdate aUpdate)
{
  if (!IsNewer(aUpdate.version_)) {
    return false;
  }
  configuration_ = std::move(aUpdate);
  return true;
}

void
gpLeaseNode::AnswerUpdateRequest(gpLinkId aLink,
                                 const gpUpdateRequest& aRequest)
{
  if (configuration_.has_value() &&
      configuration_->version_ > aRequest.version_) {
    Send(aLink, *configuration_);
  }
}

void
gpLeaseNode::RequestUpdatesInTurn(gpMillis aPeriod)
{
  timers_.Subscribe(gpEventLoop::Now() + aPeriod,
                    [this, aPeriod] { RequestUpdatesInTurn(aPeriod); });
  const auto& peers = GetPeers();
  auto next = peers.upper_bound(lastAskedLink_);
  if (next == peers.end()) {
    next = peers.begin();
  }
  if (next == peers.end()) {
    return;
  }
  lastAskedLink_ = next->first;
  gpUpdateRequest request;
  request.version_ =
    configuration_.has_value() ? configuration_->version_ : gpConfigVersion();
  Send(lastAskedLink_, request);
}

gpHttpResponse
gpLeaseNode::AnswerStatus(const gpHttpRequest& aHttp)
{
  gpHttpResponse response;
  if (aHttp.target_ == kReadyPath) {
    const bool isReady = statusHandlers_.isReady_();
    response.status_ = isReady ? response.status_ : kUnavailable;
    response.body_ = isReady ? R"({"ready":true})" : R"({"ready":false})";
  } else if (aHttp.target_ == kMetricsPath) {
    response.contentType_ = "text/plain; version=0.0.4";
    response.body_ = RenderMetrics();
  } else if (aHttp.target_ == kStatusPath) {
    response.body_ = RenderStatus();
  } else {
    response.status_ = kNotFound;
    response.body_ = R"({"error":"not_found"})";
  }
  return response;
}

std::string
gpLeaseNode::RenderStatus() const
{
  const std::uint64_t version =
    configuration_.has_value() ? configuration_->version_.value_ : 0;
  return R"({"process":")" + settings_.name_ + R"(","role":")" +
         std::string(gpRoleName(GetSelf().role_)) + R"(","incarnation":")" +
         gpIncarnationText(GetSelf().incarnation_) +
         R"(","configuration_version":)" + std::to_string(version) +
         statusHandlers_.fields_() + "}";
}

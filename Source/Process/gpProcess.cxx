#include "gpProcess.h"

#include <random>
#include <utility>

#include "gpMessageName.h"

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
/// How often a process that ends looks whether all was written.
constexpr gpMillis kDrainTime{ 5000 };
/// Pause between two requests for news.
constexpr gpMillis kNewsPeriod{ 1000 };

gpIncarnation
DrawIncarnation()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> pick(1);
  return gpIncarnation(pick(device));
}

gpLinkSettings
MakeLinkSettings(const gpTimings& aTimings)
{
  gpLinkSettings settings;
  settings.heartbeat_ = aTimings.heartbeat_;
  settings.silence_ = aTimings.linkSilence_;
  return settings;
}

} // namespace

gpProcess::gpProcess(gpProcessOptions aOptions,
                     std::size_t aConnections,
                     Handlers aHandlers)
  : timers_(loop_)
  , eventLog_(clock_)
  , http_(loop_, gpHttpLimits{}, std::move(aHandlers.http_))
  , httpClient_(loop_, aConnections)
  , log_(loop_, timers_, httpClient_, aOptions.logService_)
  , links_(loop_,
           timers_,
           clock_,
           MakeLinkSettings(aOptions.timings_),
           WithBadInput(std::move(aHandlers.links_)))
  , streams_(timers_, log_, std::move(aHandlers.streams_))
  , roster_(timers_, log_, streams_)
  , options_(std::move(aOptions))
{
  self_.role_ = options_.role_;
  self_.name_ = options_.name_;
  self_.incarnation_ = DrawIncarnation();
}

absl::Status
gpProcess::Open()
{
  absl::Status status = eventLog_.Open(
    options_.eventLog_, options_.role_, options_.name_, self_.incarnation_);
  if (!status.ok()) {
    return status;
  }
  gpTimelineEvent started;
  started.kind_ = gpEventKind::ProcessStarted;
  started.detail_ = GP_VERSION;
  Write(started);
  LookForNews();
  return Listen();
}

absl::Status
gpProcess::Listen()
{
  const auto links = links_.Listen(options_.linkListen_);
  if (!links.ok()) {
    return links.status();
  }
  const bool hasOther = !options_.linkAdvertise_.value_.empty();
  self_.address_ = hasOther ? options_.linkAdvertise_ : *links;
  links_.SetSelf(self_);
  const auto http = http_.Listen(options_.httpListen_);
  if (!http.ok()) {
    return http.status();
  }
  gpTimelineEvent listening;
  listening.kind_ = gpEventKind::Listening;
  listening.detail_ = "links " + links->value_;
  Write(listening);
  listening.detail_ = "http " + http->value_;
  Write(listening);
  return absl::OkStatus();
}

void
gpProcess::Write(const gpTimelineEvent& aEvent)
{
  eventLog_.Write(aEvent);
  metrics_
    .Counter("gypsumpoint_events_total",
             "Events of the time line by kind",
             { { "kind", std::string(gpEventKindName(aEvent.kind_)) } })
    .Add();
}

void
gpProcess::Send(gpLinkId aLink, gpMessage aMessage)
{
  metrics_
    .Counter("gypsumpoint_messages_total",
             "Messages sent to other processes by kind",
             { { "kind", std::string(gpMessageName(aMessage)) } })
    .Add();
  links_.Send(aLink, std::move(aMessage));
}

void
gpProcess::NoteLogHealth(const absl::Status& aStatus)
{
  gpTimelineEvent event;
  event.kind_ =
    aStatus.ok() ? gpEventKind::LogAvailable : gpEventKind::LogUnavailable;
  event.detail_ = aStatus.ok() ? "" : gpErrorText(aStatus);
  Write(event);
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
  peers_.insert_or_assign(aLink, aPeer.incarnation_);
  gpTimelineEvent event;
  event.kind_ = gpEventKind::LinkUp;
  event.peer_ = aPeer.incarnation_;
  event.detail_ = aPeer.name_;
  Write(event);
  if (!streams_.IsLogAvailable()) {
    AskForNews(aLink);
  }
}

void
gpProcess::NoteLinkLost(gpLinkId aLink, gpErrorCode aReason)
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::LinkDown;
  event.detail_ = std::string(gpErrorName(aReason));
  const auto found = peers_.find(aLink);
  if (found != peers_.end()) {
    event.peer_ = found->second;
    peers_.erase(found);
  }
  Write(event);
}

bool
gpProcess::HandleNews(gpLinkId aLink, const gpMessage& aMessage)
{
  if (const auto* request = std::get_if<gpNewsRequest>(&aMessage)) {
    AnswerNews(aLink, *request);
    return true;
  }
  if (const auto* news = std::get_if<gpConfigurationNews>(&aMessage)) {
    streams_.Adopt(*news);
    return true;
  }
  if (const auto* news = std::get_if<gpRosterNews>(&aMessage)) {
    streams_.Adopt(*news);
    return true;
  }
  return false;
}

void
gpProcess::AskForNews(gpLinkId aLink)
{
  Send(aLink,
       gpNewsRequest{ streams_.GetConfiguration().version_,
                      streams_.GetRoster().epoch_ });
}

void
gpProcess::AnswerNews(gpLinkId aLink, const gpNewsRequest& aRequest)
{
  auto configuration = streams_.MakeConfigurationNews();
  if (configuration.has_value() &&
      configuration->version_ > aRequest.version_) {
    Send(aLink, std::move(*configuration));
  }
  auto roster = streams_.MakeRosterNews();
  if (roster.has_value() && aRequest.epoch_ == gpRosterEpoch{}) {
    Send(aLink, std::move(*roster));
  }
}

void
gpProcess::LookForNews()
{
  timers_.Subscribe(gpEventLoop::Now() + kNewsPeriod,
                    [this] { LookForNews(); });
  if (streams_.IsLogAvailable() || peers_.empty()) {
    return;
  }
  auto next = peers_.upper_bound(askedForNews_);
  if (next == peers_.end()) {
    next = peers_.begin();
  }
  askedForNews_ = next->first;
  AskForNews(askedForNews_);
}

void
gpProcess::NoteBadInput(gpErrorCode aCode)
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::BadInput;
  event.detail_ = std::string(gpErrorName(aCode));
  Write(event);
}

gpLinkService::Handlers
gpProcess::WithBadInput(gpLinkService::Handlers aHandlers)
{
  aHandlers.badInput_ = [this](gpErrorCode aCode) { NoteBadInput(aCode); };
  return aHandlers;
}

void
gpProcess::WakeAt(gpTime aWhen, std::function<void()> aHandler)
{
  timers_.Cancel(wake_);
  wake_ = timers_.Subscribe(aWhen, std::move(aHandler));
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
    UpdateTrafficMetrics();
    response.contentType_ = "text/plain; version=0.0.4";
    response.body_ = metrics_.Render();
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
  if (std::exchange(stopping_, true)) {
    return;
  }
  gpTimelineEvent stopped;
  stopped.kind_ = gpEventKind::ProcessStopped;
  Write(stopped);
  const auto flush = [this] { links_.Flush([this] { loop_.Stop(); }); };
  http_.Drain(flush);
  // A caller that doesn't read its answer must not keep the process alive.
  timers_.Subscribe(gpEventLoop::Now() + kDrainTime, [this] { loop_.Stop(); });
}

std::string
gpProcess::RenderStatus(const std::string& aFields) const
{
  const gpVersionedConfiguration& configuration = streams_.GetConfiguration();
  return R"({"process":")" + options_.name_ + R"(","role":")" +
         std::string(gpRoleName(options_.role_)) + R"(","incarnation":")" +
         gpIncarnationText(self_.incarnation_) +
         R"(","configuration_version":)" +
         std::to_string(configuration.version_.value_) + R"(,"apply_id":")" +
         configuration.applyId_.value_ + R"(","roster_epoch":)" +
         std::to_string(streams_.GetRoster().epoch_.value_) +
         R"(,"log_available":)" +
         (streams_.IsLogAvailable() ? "true" : "false") + R"(,"members":)" +
         std::to_string(streams_.GetRoster().members_.size()) + aFields + "}";
}

void
gpProcess::UpdateTrafficMetrics()
{
  const gpLinkCounts counts = links_.GetCounts();
  const auto set = [this](const char* aName, std::uint64_t aValue) {
    metrics_.Gauge(aName, "Traffic of all links since the start")
      .Set(static_cast<double>(aValue));
  };
  set("gypsumpoint_link_bytes_sent", counts.bytesSent_);
  set("gypsumpoint_link_bytes_received", counts.bytesReceived_);
  set("gypsumpoint_link_frames_sent", counts.framesSent_);
  set("gypsumpoint_link_frames_received", counts.framesReceived_);
  set("gypsumpoint_link_messages_sent", counts.messagesSent_);
  set("gypsumpoint_link_messages_received", counts.messagesReceived_);
}

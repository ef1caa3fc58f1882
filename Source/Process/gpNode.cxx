#include "gpNode.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gpBuildVersion.h"
#include "gpError.h"
#include "gpMessageName.h"
#include "gpServerLimits.h"

namespace {

/// Limit of the logged events of one kind in a second. A busy entry handles
/// some hundred tasks in a second.
constexpr std::uint32_t kEventsPerSecond = 1000;
/// How long events are buffered, so that several are written together.
constexpr gpMillis kFlushPause{ 5 };
/// Period in which the number of dropped events is logged.
constexpr gpMillis kDroppedReportPeriod{ 1000 };
/// Limit of the logged events about clients that are over a limit.
constexpr std::uint32_t kLimitLinesPerSecond = 2;
/// Longest logged text about invalid input, whose writer may be anybody.
constexpr std::size_t kMaxBadInputBytes = 200;

/// The start of a text, with anything but visible ASCII replaced: a cut or
/// broken UTF-8 sequence would make the line of the log unreadable.
std::string
Shorten(const std::string& aText)
{
  std::string text = aText.substr(0, kMaxBadInputBytes);
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aCharacter) { return aCharacter < ' ' || aCharacter > '~'; },
    '?');
  return text;
}

gpIncarnation
DrawIncarnation()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> pick(1);
  return gpIncarnation(pick(device));
}

} // namespace

gpNode::gpNode(gpNodeOptions aOptions, gpLinkService::Handlers aLinks)
  : timers_(loop_)
  , eventLog_(clock_)
  , httpClient_(loop_, aOptions.connections_)
  , links_(loop_,
           timers_,
           clock_,
           aOptions.links_,
           AddHandlers(std::move(aLinks)))
  , options_(std::move(aOptions))
  , limitLines_(kLimitLinesPerSecond)
{
  self_.role_ = options_.role_;
  self_.name_ = options_.name_;
  self_.incarnation_ = DrawIncarnation();
}

absl::Status
gpNode::OpenLinks()
{
  absl::Status status = eventLog_.Open(
    options_.eventLog_, options_.role_, options_.name_, self_.incarnation_);
  if (!status.ok()) {
    return status;
  }
  gpTimelineEvent started;
  started.kind_ = gpEventKind::ProcessStarted;
  started.detail_ = gpBuildVersion();
  Write(started);
  ReportDroppedEvents();
  const auto links = links_.Listen(options_.linkListen_);
  if (!links.ok()) {
    return links.status();
  }
  const bool hasOther = !options_.linkAdvertise_.value_.empty();
  self_.address_ = hasOther ? options_.linkAdvertise_ : *links;
  links_.SetSelf(self_);
  NoteListening("links", *links);
  return status;
}

void
gpNode::NoteListening(const std::string& aPurpose, const gpAddress& aAddress)
{
  gpTimelineEvent listening;
  listening.kind_ = gpEventKind::Listening;
  listening.detail_ = aPurpose + " " + aAddress.value_;
  Write(listening);
}

void
gpNode::Write(const gpTimelineEvent& aEvent)
{
  LogKind& kind = FindLogKind(aEvent.kind_);
  if (!kind.limit_.Take(gpEventLoop::Now()) || !eventLog_.Write(aEvent)) {
    ++droppedEvents_;
  }
  kind.count_.Add();
  ScheduleLogFlush();
}

gpNode::LogKind&
gpNode::FindLogKind(gpEventKind aKind)
{
  const auto found = logKinds_.find(aKind);
  if (found != logKinds_.end()) {
    return found->second;
  }
  gpCounter& count =
    metrics_.Counter("gypsumpoint_events_total",
                     "Events of the time line by kind",
                     { { "kind", std::string(gpEventKindName(aKind)) } });
  return logKinds_
    .emplace(aKind, LogKind{ gpTokenBucket(kEventsPerSecond), count })
    .first->second;
}

void
gpNode::ScheduleLogFlush()
{
  if (eventLog_.IsFlushed() || std::exchange(isFlushScheduled_, true)) {
    return;
  }
  timers_.Subscribe(gpEventLoop::Now() + kFlushPause, [this] {
    isFlushScheduled_ = false;
    eventLog_.Flush();
    ScheduleLogFlush();
  });
}

void
gpNode::ReportDroppedEvents()
{
  timers_.Subscribe(gpEventLoop::Now() + kDroppedReportPeriod,
                    [this] { ReportDroppedEvents(); });
  if (droppedEvents_ == 0) {
    return;
  }
  gpTimelineEvent event;
  event.kind_ = gpEventKind::LinesDropped;
  event.number_ = droppedEvents_;
  if (eventLog_.Write(event)) {
    metrics_
      .Counter("gypsumpoint_log_lines_dropped_total",
               "Lines of the time line that were not written")
      .Add(droppedEvents_);
    droppedEvents_ = 0;
  }
}

void
gpNode::Send(gpLinkId aLink, gpMessage aMessage)
{
  gpCounter*& count = messageCounts_.at(aMessage.index());
  if (count == nullptr) {
    count =
      &metrics_.Counter("gypsumpoint_messages_total",
                        "Messages sent to other processes by kind",
                        { { "kind", std::string(gpMessageName(aMessage)) } });
  }
  count->Add();
  links_.Send(aLink, std::move(aMessage));
}

void
gpNode::NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer)
{
  peers_.insert_or_assign(aLink, aPeer.incarnation_);
  gpTimelineEvent event;
  event.kind_ = gpEventKind::LinkUp;
  event.peer_ = aPeer.incarnation_;
  event.detail_ = aPeer.name_;
  Write(event);
}

void
gpNode::NoteLinkLost(gpLinkId aLink, gpErrorCode aReason)
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

void
gpNode::NoteBadInput(gpErrorCode aCode)
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::BadInput;
  event.detail_ = std::string(gpErrorName(aCode));
  Write(event);
}

void
gpNode::NoteBadInput(const absl::Status& aStatus)
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::BadInput;
  event.detail_ = std::string(gpErrorName(gpErrorCodeOf(aStatus))) + ": " +
                  Shorten(gpErrorText(aStatus));
  Write(event);
}

void
gpNode::NoteLimit(const std::string& aPort, const char* aLimit)
{
  metrics_
    .Counter("gypsumpoint_clients_limited_total",
             "Connections closed and requests refused because of a limit on "
             "all clients of a port together",
             { { "port", aPort }, { "limit", aLimit } })
    .Add();
  if (limitLines_.Take(gpEventLoop::Now())) {
    gpTimelineEvent event;
    event.kind_ = gpEventKind::ClientsLimited;
    event.detail_ = aPort + " " + aLimit;
    Write(event);
  }
}

std::function<void(gpHttpLimitKind)>
gpNode::MakeLimitHandler(const std::string& aPort)
{
  return [this, aPort](gpHttpLimitKind aLimit) {
    NoteLimit(aPort, gpLimitName(aLimit));
  };
}

void
gpNode::NoteLogHealth(const absl::Status& aStatus)
{
  gpTimelineEvent event;
  event.kind_ =
    aStatus.ok() ? gpEventKind::LogAvailable : gpEventKind::LogUnavailable;
  event.detail_ = aStatus.ok() ? "" : gpErrorText(aStatus);
  Write(event);
}

void
gpNode::StopGracefully(
  const std::function<void(std::function<void()> aClosed)>& aCloseServers,
  gpMillis aLongest)
{
  if (std::exchange(stopping_, true)) {
    return;
  }
  gpTimelineEvent stopped;
  stopped.kind_ = gpEventKind::ProcessStopped;
  Write(stopped);
  aCloseServers([this] { links_.Flush([this] { loop_.Stop(); }); });
  timers_.Subscribe(gpEventLoop::Now() + aLongest, [this] { loop_.Stop(); });
}

gpLinkService::Handlers
gpNode::AddHandlers(gpLinkService::Handlers aHandlers)
{
  aHandlers.limitReached_ = [this](gpLinkLimitKind aLimit) {
    NoteLimit("links", gpLimitName(aLimit));
  };
  aHandlers.badInput_ = [this](gpErrorCode aCode) { NoteBadInput(aCode); };
  return aHandlers;
}

void
gpNode::WakeAt(gpTime aWhen, std::function<void()> aHandler)
{
  timers_.Cancel(wakeTimer_);
  wakeTimer_ = timers_.Subscribe(aWhen, std::move(aHandler));
}

std::string
gpNode::RenderMetrics()
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
  return metrics_.Render();
}

#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "gpEventLog.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpLamportClock.h"
#include "gpLinkService.h"
#include "gpMetrics.h"
#include "gpPeer.h"
#include "gpTimerService.h"
#include "gpTokenBucket.h"

/** \class gpNodeOptions
 * \brief Options that all processes of the system have.
 */
struct gpNodeOptions
{
  gpRole role_ = gpRole::Entry;
  std::string name_;
  gpAddress linkListen_;
  /// Address for links that is sent to other processes; empty: the address that
  /// the process listens at.
  gpAddress linkAdvertise_;
  /// File of the event log; "-" is the standard output.
  std::string eventLog_ = "-";
  gpLinkSettings links_;
  /// Most HTTP connections of the client to one address.
  std::size_t connections_ = 1;
};

/** \class gpNode
 * \brief Base class of the processes of the system. Owns the event loop,
 * timers, event log, metrics, HTTP client and links.
 */
class gpNode
{
public:
  gpNode(gpNodeOptions aOptions, gpLinkService::Handlers aLinks);

  /// Identity of this process. The address is valid after OpenLinks.
  const gpPeer& GetSelf() const { return self_; }
  /// Writes an event to the event log and counts it by kind. The event is
  /// dropped, and counted as dropped, if its kind is over the rate limit or the
  /// reader of the log is too slow.
  void Write(const gpTimelineEvent& aEvent);
  /// Sends a message and counts it by type.
  void Send(gpLinkId aLink, gpMessage aMessage);
  /// Logs a new link and remembers its peer.
  void NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer);
  void NoteLinkLost(gpLinkId aLink, gpErrorCode aReason);
  /// Logs input that could not be decoded.
  void NoteBadInput(gpErrorCode aCode);
  /// Likewise, with the start of the status's text, which names the field.
  void NoteBadInput(const absl::Status& aStatus);
  /// Counts and logs that a limit on all clients of a port together has been
  /// reached. Only some of the events are logged, as clients cause them.
  void NoteLimit(const std::string& aPort, const char* aLimit);
  /// A handler that does so for an HTTP server.
  std::function<void(gpHttpLimitKind)> MakeLimitHandler(
    const std::string& aPort);
  /// Logs whether the platform's store, or the log service, is available.
  void NoteLogHealth(const absl::Status& aStatus);
  /// Calls the handler at this time. Replaces the call set before, if any.
  void WakeAt(gpTime aWhen, std::function<void()> aHandler);
  /// All metrics as text, including the traffic of the links.
  std::string RenderMetrics();

  gpEventLoop loop_;
  gpTimerService timers_;
  gpLamportClock clock_;
  gpEventLog eventLog_;
  gpMetrics metrics_;
  gpHttpClient httpClient_;
  gpLinkService links_;

protected:
  /// Opens the event log and listens for links. The error is Io if either of
  /// them fails.
  absl::Status OpenLinks();
  /// Logs an address at which the process listens.
  void NoteListening(const std::string& aPurpose, const gpAddress& aAddress);

  /// Stops the event loop once the servers have been closed and all sent
  /// messages have been written, but after aLongest at the latest.
  void StopGracefully(
    const std::function<void(std::function<void()> aClosed)>& aCloseServers,
    gpMillis aLongest);

  const gpNodeOptions& GetOptions() const { return options_; }
  const std::map<gpLinkId, gpIncarnation>& GetPeers() const { return peers_; }

private:
  /// Rate limit and counter of the events of one kind.
  struct LogKind
  {
    gpTokenBucket limit_;
    gpCounter& count_;
  };

  LogKind& FindLogKind(gpEventKind aKind);
  /// Flushes the event log after a short time, so that several events are
  /// written together.
  void ScheduleLogFlush();
  /// Periodically logs how many events were dropped since the last report.
  void ReportDroppedEvents();
  gpLinkService::Handlers AddHandlers(gpLinkService::Handlers aHandlers);

  gpNodeOptions options_;
  gpPeer self_;
  gpTimerId wakeTimer_;
  std::map<gpEventKind, LogKind> logKinds_;
  /// By message type; null until the first message of the type is sent.
  std::array<gpCounter*, std::variant_size_v<gpMessage>> messageCounts_{};
  std::uint64_t droppedEvents_ = 0;
  gpTokenBucket limitLines_;
  bool isFlushScheduled_ = false;
  bool stopping_ = false;
  std::map<gpLinkId, gpIncarnation> peers_;
};

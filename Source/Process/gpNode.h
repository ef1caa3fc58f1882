#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "gpEventLog.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpIds.h"
#include "gpLamportClock.h"
#include "gpLinkService.h"
#include "gpMetrics.h"
#include "gpPeer.h"
#include "gpTimerService.h"
#include "gpTokenBucket.h"

/** \class gpNodeOptions
 * \brief What every process of the system is told at its start.
 */
struct gpNodeOptions
{
  gpRole role_ = gpRole::Entry;
  std::string name_;
  gpAddress linkListen_;
  /// The address for links that others are told; empty: the one in use.
  gpAddress linkAdvertise_;
  /// File of the event log; "-" is the standard output.
  std::string eventLog_ = "-";
  gpLinkSettings links_;
  /// Bounds the HTTP connections to one address.
  std::size_t connections_ = 1;
};

/** \class gpNode
 * \brief The parts that all processes of the system have: event loop, timers,
 * event log, metrics, HTTP client and links.
 */
class gpNode
{
public:
  gpNode(gpNodeOptions aOptions, gpLinkService::Handlers aLinks);

  /// Who this process is. The address is known after Open.
  const gpPeer& GetSelf() const { return self_; }
  /// Writes one line of the time line and counts it. Lines over the limit of
  /// their kind, and those that the reader is too slow for, are dropped and
  /// counted.
  void Write(const gpTimelineEvent& aEvent);
  /// Sends a message and counts it by kind.
  void Send(gpLinkId aLink, gpMessage aMessage);
  /// Notes a link in the time line.
  void NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer);
  void NoteLinkLost(gpLinkId aLink, gpErrorCode aReason);
  /// Notes input that could not be read in the time line.
  void NoteBadInput(gpErrorCode aCode);
  /// Notes in the time line whether the platform's store or log can be read.
  void NoteLogHealth(const absl::Status& aStatus);
  /// Calls the handler at the time, in place of the one before.
  void WakeAt(gpTime aWhen, std::function<void()> aHandler);
  /// All metrics as text, the traffic of the links among them.
  std::string RenderMetrics();

  gpEventLoop loop_;
  gpTimerService timers_;
  gpLamportClock clock_;
  gpEventLog eventLog_;
  gpMetrics metrics_;
  gpHttpClient httpClient_;
  gpLinkService links_;

protected:
  /// Opens the event log and listens for links; the error is Io if either
  /// fails.
  absl::Status OpenLinks();
  /// Notes an address in use in the time line.
  void NoteListening(const std::string& aPurpose, const gpAddress& aAddress);

  /// Ends the process once its servers have closed and all that was sent has
  /// been written, and after aLongest at the latest.
  void StopGracefully(
    const std::function<void(std::function<void()> aClosed)>& aCloseServers,
    gpMillis aLongest);

  const gpNodeOptions& GetOptions() const { return options_; }
  const std::map<gpLinkId, gpIncarnation>& GetPeers() const { return peers_; }

private:
  /// What is kept of the lines of one kind.
  struct LogKind
  {
    gpTokenBucket limit_;
    gpCounter& count_;
  };

  LogKind& FindLogKind(gpEventKind aKind);
  /// Writes the lines of the event log after a short time, so that many are
  /// written together.
  void FlushLogSoon();
  /// Says how many lines were dropped since the last time.
  void ReportDropped();
  gpLinkService::Handlers WithBadInput(gpLinkService::Handlers aHandlers);

  gpNodeOptions options_;
  gpPeer self_;
  gpTimerId wake_;
  std::map<gpEventKind, LogKind> logKinds_;
  /// By kind of message; null until the first one was sent.
  std::array<gpCounter*, std::variant_size_v<gpMessage>> messageCounts_{};
  std::uint64_t droppedLines_ = 0;
  bool isFlushPlanned_ = false;
  bool stopping_ = false;
  std::map<gpLinkId, gpIncarnation> peers_;
};

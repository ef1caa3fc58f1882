#pragma once

#include <map>
#include <memory>
#include <string>

#include "gpEventLog.h"
#include "gpEventLoop.h"
#include "gpHttpClient.h"
#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpLamportClock.h"
#include "gpLinkService.h"
#include "gpLogClient.h"
#include "gpMetrics.h"
#include "gpPeer.h"
#include "gpPlatformStreams.h"
#include "gpProcessSettings.h"
#include "gpRosterWriter.h"
#include "gpTimerService.h"

/** \class gpProcessOptions
 * \brief What the settings of an entry and of a guard have in common.
 */
struct gpProcessOptions
{
  gpRole role_ = gpRole::Entry;
  std::string name_;
  gpAddress httpListen_;
  gpAddress linkListen_;
  gpAddress linkAdvertise_;
  gpAddress logService_;
  std::string eventLog_;
  gpTimings timings_;
};

/** \class gpProcess
 * \brief The parts that an entry and a guard have in common: event loop, event
 * log, links, HTTP, and the streams of the log service.
 */
class gpProcess
{
public:
  struct Handlers
  {
    gpLinkService::Handlers links_;
    gpHttpServer::Handlers http_;
    gpPlatformStreams::Handlers streams_;
  };

  /// aConnections bounds the HTTP connections to one address.
  gpProcess(gpProcessOptions aOptions,
            std::size_t aConnections,
            Handlers aHandlers);

  /// Opens the event log and listens; the error is Io if either fails.
  absl::Status Open();
  /// Who this process is. The address is known after Open.
  const gpPeer& GetSelf() const { return self_; }
  /// Writes one line of the time line and counts it.
  void Write(const gpTimelineEvent& aEvent);
  /// Sends a message and counts it by kind.
  void Send(gpLinkId aLink, gpMessage aMessage);
  /// Notes the health of the log service in the time line.
  void NoteLogHealth(const absl::Status& aStatus);
  /// Writes a rejected record of the configuration stream to the time line.
  void NoteRejected(const gpConfigurationEvent& aEvent);
  /// Notes a link, and asks its peer for news if the log can't be read.
  void NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer);
  void NoteLinkLost(gpLinkId aLink, gpErrorCode aReason);
  /// Answers or takes over news of the configuration and roster. False if the
  /// message is about something else.
  bool HandleNews(gpLinkId aLink, const gpMessage& aMessage);
  /// Notes input that could not be read in the time line.
  void NoteBadInput(gpErrorCode aCode);
  /// Calls the handler at the time, in place of the one before.
  void WakeAt(gpTime aWhen, std::function<void()> aHandler);
  /// Answers /healthz, /readyz, /metrics and /v1/status. False if the request
  /// is for something else. aStatusFields are added to the status, such as
  /// `,"running":3`.
  bool AnswerCommon(gpRequestId aRequest,
                    const gpHttpRequest& aHttp,
                    bool aReady,
                    const std::string& aStatusFields);
  /// Ends the process once all that was sent and answered has been written.
  void StopGracefully();

  gpEventLoop loop_;
  gpTimerService timers_;
  gpLamportClock clock_;
  gpEventLog eventLog_;
  gpMetrics metrics_;
  gpHttpServer http_;
  gpHttpClient httpClient_;
  gpLogClient log_;
  gpLinkService links_;
  gpPlatformStreams streams_;
  gpRosterWriter roster_;

private:
  absl::Status Listen();
  gpLinkService::Handlers WithBadInput(gpLinkService::Handlers aHandlers);
  std::string RenderStatus(const std::string& aFields) const;
  void UpdateTrafficMetrics();
  void AskForNews(gpLinkId aLink);
  void AnswerNews(gpLinkId aLink, const gpNewsRequest& aRequest);
  /// Asks one peer after the other, while the log can't be read.
  void LookForNews();

  gpProcessOptions options_;
  gpPeer self_;
  gpTimerId wake_;
  std::map<gpLinkId, gpIncarnation> peers_;
  /// The link that was asked for news last.
  gpLinkId askedForNews_;
  bool stopping_ = false;
};

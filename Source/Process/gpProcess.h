#pragma once

#include <string>

#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpLogClient.h"
#include "gpLogServiceStreams.h"
#include "gpNode.h"
#include "gpProcessSettings.h"
#include "gpRosterWriter.h"

/** \class gpProcessOptions
 * \brief Settings that entries and guards have in common.
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
  gpClientLimits limits_;
};

/** \class gpProcess
 * \brief The common part of entries and guards that use claims. Adds an HTTP
 * server and the streams of the log service to gpNode.
 */
class gpProcess : public gpNode
{
public:
  struct Handlers
  {
    gpLinkService::Handlers links_;
    gpHttpServer::Handlers http_;
    gpLogServiceStreams::Handlers streams_;
  };

  /// aConnections limits the HTTP connections to one address.
  gpProcess(gpProcessOptions aOptions,
            std::size_t aConnections,
            Handlers aHandlers);

  /// Opens the event log and listens. The error is Io if either fails.
  absl::Status Open();
  /// Logs a rejected record of the configuration stream.
  void NoteRejected(const gpConfigurationEvent& aEvent);
  /// Logs a new link. While the log service is unavailable, also asks the peer
  /// for a newer configuration and roster.
  void NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer);
  /// Handles updates of the configuration and roster and requests for them.
  /// Returns false for all other messages.
  bool HandleUpdate(gpLinkId aLink, const gpMessage& aMessage);
  /// Answers /healthz, /readyz, /metrics and /v1/status; returns false for all
  /// other requests. aStatusFields are further JSON fields of the status, such
  /// as `,"running":3`.
  bool AnswerCommon(gpRequestId aRequest,
                    const gpHttpRequest& aHttp,
                    bool aReady,
                    const std::string& aStatusFields);
  /// Ends the process once all messages and responses have been written, but
  /// after 5 s at the latest.
  void StopGracefully();

  gpHttpServer http_;
  gpLogClient log_;
  gpLogServiceStreams streams_;
  gpRosterWriter rosterWriter_;

private:
  gpHttpServer::Handlers AddLimitHandler(gpHttpServer::Handlers aHandlers);
  std::string RenderStatus(const std::string& aFields) const;
  void RequestUpdate(gpLinkId aLink);
  void AnswerUpdateRequest(gpLinkId aLink, const gpUpdateRequest& aRequest);
  /// Asks the peers in turn, one in each period, while the log service is
  /// unavailable.
  void RequestUpdatesPeriodically();

  gpProcessOptions options_;
  /// Link to the peer that was last asked for an update.
  gpLinkId lastRequestLink_;
};

#pragma once

#include <string>

#include "gpHttpServer.h"
#include "gpIds.h"
#include "gpLogClient.h"
#include "gpNode.h"
#include "gpPlatformStreams.h"
#include "gpProcessSettings.h"
#include "gpRosterWriter.h"

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
 * \brief What an entry and a guard with claims have in common beside gpNode: an
 * HTTP server and the streams of the log service.
 */
class gpProcess : public gpNode
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
  /// Writes a rejected record of the configuration stream to the time line.
  void NoteRejected(const gpConfigurationEvent& aEvent);
  /// Notes a link, and asks its peer for news if the log can't be read.
  void NoteLinkOpened(gpLinkId aLink, const gpPeer& aPeer);
  /// Answers or takes over news of the configuration and roster. False if the
  /// message is about something else.
  bool HandleNews(gpLinkId aLink, const gpMessage& aMessage);
  /// Answers /healthz, /readyz, /metrics and /v1/status. False if the request
  /// is for something else. aStatusFields are added to the status, such as
  /// `,"running":3`.
  bool AnswerCommon(gpRequestId aRequest,
                    const gpHttpRequest& aHttp,
                    bool aReady,
                    const std::string& aStatusFields);
  /// Ends the process once all that was sent and answered has been written.
  void StopGracefully();

  gpHttpServer http_;
  gpLogClient log_;
  gpPlatformStreams streams_;
  gpRosterWriter roster_;

private:
  std::string RenderStatus(const std::string& aFields) const;
  void AskForNews(gpLinkId aLink);
  void AnswerNews(gpLinkId aLink, const gpNewsRequest& aRequest);
  /// Asks one peer after the other, while the log can't be read.
  void LookForNews();

  gpProcessOptions options_;
  /// The link that was asked for news last.
  gpLinkId askedForNews_;
};

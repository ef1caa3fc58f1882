#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "gpHttpServer.h"
#include "gpLeaseEvent.h"
#include "gpLeaseSettings.h"
#include "gpNode.h"
#include "gpSettingsWatch.h"

/** \class gpLeaseNode
 * \brief Base class of entries and guards for best-effort jobs. Adds to gpNode
 * the execution of the effects that both have, the newest configuration, which
 * is sent to peers on request, and an HTTP server for readiness and metrics.
 */
class gpLeaseNode : public gpNode
{
public:
  struct StatusHandlers
  {
    std::function<bool()> isReady_;
    /// Further JSON fields of the status response, such as `,"runs":3`.
    std::function<std::string()> fields_;
  };

  gpLeaseNode(const gpLeaseSettings& aSettings,
              gpRole aRole,
              gpLinkService::Handlers aLinks,
              StatusHandlers aStatus);

  /// Opens the event log, and listens for links and for status requests.
  absl::Status OpenNode();
  /// Runs the event loop until the process has shut down.
  void Run() { loop_.Run(); }
  /// Executes an effect that entries and guards have in common; returns false
  /// for all others. aOnWake is called at the time of a gpWakeAt.
  bool Execute(gpLeaseEffect& aEffect, const std::function<void()>& aOnWake);

  /// Stores a configuration if it's newer than the stored one, otherwise
  /// returns false.
  bool KeepConfiguration(gpConfigurationUpdate aUpdate);
  /// Answers a request for the configuration, if the stored one is newer.
  void AnswerUpdateRequest(gpLinkId aLink, const gpUpdateRequest& aRequest);
  /// Whether the version is newer than the stored configuration.
  bool IsNewer(gpConfigVersion aVersion) const;
  /// In each period, asks the next peer in turn for a newer configuration. Only
  /// one is asked at a time, because the text may be large.
  void RequestUpdatesInTurn(gpMillis aPeriod);

  /// Watches the settings file, and applies the one setting that may change
  /// while the process runs: the list of entries. Invalid settings are logged
  /// and otherwise ignored.
  void WatchSettings(const std::string& aFile, const std::string& aText);

  /// Called with the list of entries after the settings file has changed.
  virtual void OnEntriesFound(std::vector<gpAddress> aEntries) = 0;
  /// Called at a shutdown, to close the servers of the derived class. Must call
  /// aClosed when their connections have been closed.
  virtual void CloseServers(std::function<void()> aClosed) = 0;

protected:
  ~gpLeaseNode() = default;

  /// Milliseconds since 1970. Fences and run numbers start with this value, so
  /// that they are higher than those of earlier incarnations. If the system
  /// clock was set back they may be lower; the target then refuses the orders.
  static std::uint64_t FirstNumber();
  /// Longest time from the request to shut down until the process ends.
  gpMillis GetShutdownTime() const;

private:
  /// Serves readiness, status and metrics.
  gpHttpServer::Handlers MakeStatusHandlers(gpHttpServer& aServer,
                                            const char* aPurpose);
  gpHttpResponse AnswerStatus(const gpHttpRequest& aHttp);
  absl::Status ListenForStatus(gpHttpServer& aServer,
                               const char* aPurpose,
                               const gpAddress& aAddress);
  std::string RenderStatus() const;
  void OnSettings(const std::string& aText);

  gpHttpServer statusServer_;
  gpHttpServer metricsServer_;
  gpLeaseSettings settings_;
  StatusHandlers statusHandlers_;
  std::optional<gpConfigurationUpdate> configuration_;
  /// Link to the peer that was last asked for a newer configuration.
  gpLinkId lastAskedLink_;
  std::optional<gpSettingsWatch> watch_;
  std::string settingsFile_;
};

/** \brief Makes link handlers that convert each link event into an event of the
 * reducers and pass it to aOnEvent.
 */
template<typename EventHandler>
gpLinkService::Handlers
gpMakeLeaseLinkHandlers(gpLeaseNode& aNode, EventHandler aOnEvent)
{
  gpLinkService::Handlers handlers;
  handlers.up_ = [&aNode, aOnEvent](gpLinkId aLink,
                                    const gpPeer& aPeer,
                                    std::optional<gpAddress> aDialed) {
    aNode.NoteLinkOpened(aLink, aPeer);
    aOnEvent(gpLinkOpened{ aLink, aPeer, std::move(aDialed) });
  };
  handlers.down_ = [&aNode, aOnEvent](gpLinkId aLink, gpErrorCode aReason) {
    aNode.NoteLinkLost(aLink, aReason);
    aOnEvent(gpLinkLost{ aLink, aReason });
  };
  handlers.message_ = [&aNode, aOnEvent](gpLinkId aLink, gpMessage aMessage) {
    if (const auto* request = std::get_if<gpUpdateRequest>(&aMessage)) {
      aNode.AnswerUpdateRequest(aLink, *request);
      return;
    }
    aOnEvent(gpMessageReceived{ aLink, std::move(aMessage) });
  };
  handlers.dialFailed_ = [aOnEvent](const gpAddress& aAddress,
                                    gpErrorCode aReason) {
    aOnEvent(gpDialFailed{ aAddress, aReason });
  };
  return handlers;
}

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
 * \brief What entries and guards for best-effort jobs have in common beside
 * gpNode: the effects that both have, the newest configuration, which each
 * passes on to peers that ask, and an HTTP server for readiness and metrics.
 */
class gpLeaseNode : public gpNode
{
public:
  struct StatusHandlers
  {
    std::function<bool()> isReady_;
    /// Further fields of the status, such as `,"runs":3`.
    std::function<std::string()> fields_;
  };

  gpLeaseNode(const gpLeaseSettings& aSettings,
              gpRole aRole,
              gpLinkService::Handlers aLinks,
              StatusHandlers aStatus);

  /// Opens the event log, and listens for links and for questions of status.
  absl::Status OpenNode();
  /// Runs until the process was asked to end and has done so.
  void Run() { loop_.Run(); }
  /// Carries an effect out. False if it's none that all nodes have.
  bool Carry(gpLeaseEffect& aEffect, const std::function<void()>& aWake);

  /// Keeps a configuration if it's newer. False if it isn't.
  bool KeepNews(gpConfigurationNews aNews);
  /// Answers a request for the configuration.
  void AnswerNews(gpLinkId aLink, const gpNewsRequest& aRequest);
  /// Whether the version is newer than what is kept.
  bool IsNews(gpConfigVersion aVersion) const;
  /// Asks one peer after the other for the configuration, if it has a newer
  /// one. A text may be large, so it's pulled from one peer at a time.
  void AskForNewsInTurn(gpMillis aPeriod);

  /// Takes over what may change in the settings file while the process runs:
  /// the entries. Settings that can't be read are noted, and change nothing.
  void WatchSettings(const std::string& aFile, const std::string& aText);

  /// Called when the settings name other entries.
  virtual void OnEntriesFound(std::vector<gpAddress> aEntries) = 0;
  /// Called before a node that was asked to end does so, to close its servers.
  virtual void CloseServers(std::function<void()> aClosed) = 0;

protected:
  ~gpLeaseNode() = default;

  /// Milliseconds since 1970. Fences and run numbers begin there, so that they
  /// are higher than those of a former incarnation, unless the time of day went
  /// back; then the target tells.
  static std::uint64_t FirstNumber();
  /// Time between the request to end and the end.
  gpMillis GetShutdownTime() const;

private:
  /// Serves readiness, status and metrics.
  gpHttpServer::Handlers MakeStatusHandlers(gpHttpServer& aServer);
  gpHttpResponse AnswerStatus(const gpHttpRequest& aHttp);
  absl::Status ListenForStatus(gpHttpServer& aServer,
                               const char* aPurpose,
                               const gpAddress& aAddress);
  std::string RenderStatus() const;
  void OnSettings(const std::string& aText);

  gpHttpServer status_;
  gpHttpServer metricsServer_;
  gpLeaseSettings settings_;
  StatusHandlers statusHandlers_;
  std::optional<gpConfigurationNews> news_;
  /// The peer that was asked last.
  gpLinkId asked_;
  std::optional<gpSettingsWatch> watch_;
  std::string settingsFile_;
};

/** \brief Link handlers that turn what happens on links into events. aGive is
 * called with each of them.
 */
template<typename Give>
gpLinkService::Handlers
gpMakeLeaseLinkHandlers(gpLeaseNode& aNode, Give aGive)
{
  gpLinkService::Handlers handlers;
  handlers.up_ = [&aNode, aGive](gpLinkId aLink,
                                 const gpPeer& aPeer,
                                 std::optional<gpAddress> aDialed) {
    aNode.NoteLinkOpened(aLink, aPeer);
    aGive(gpLinkOpened{ aLink, aPeer, std::move(aDialed) });
  };
  handlers.down_ = [&aNode, aGive](gpLinkId aLink, gpErrorCode aReason) {
    aNode.NoteLinkLost(aLink, aReason);
    aGive(gpLinkLost{ aLink, aReason });
  };
  handlers.message_ = [&aNode, aGive](gpLinkId aLink, gpMessage aMessage) {
    if (const auto* request = std::get_if<gpNewsRequest>(&aMessage)) {
      aNode.AnswerNews(aLink, *request);
      return;
    }
    aGive(gpMessageReceived{ aLink, std::move(aMessage) });
  };
  handlers.dialFailed_ = [aGive](const gpAddress& aAddress,
                                 gpErrorCode aReason) {
    aGive(gpDialFailed{ aAddress, aReason });
  };
  return handlers;
}

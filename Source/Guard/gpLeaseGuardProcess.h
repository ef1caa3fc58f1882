#pragma once

#include <memory>
#include <string>

#include "gpAnnouncementPort.h"
#include "gpLeaseGuardReducer.h"
#include "gpLeaseNode.h"
#include "gpStorePort.h"
#include "gpStoreWriter.h"
#include "gpTargetPort.h"

/** \class gpLeaseGuardProcess
 * \brief Runs a guard for best-effort jobs: passes events to its reducer, which
 * makes the decisions, and executes the effects that it returns.
 */
class gpLeaseGuardProcess : public gpLeaseNode
{
public:
  /// Makes the target port from the HTTP client of this process.
  using MakeTarget =
    std::function<std::unique_ptr<gpTargetPort>(gpHttpClient&)>;

  /// Makes the client of the store, likewise.
  using MakeStore = std::function<std::unique_ptr<gpStorePort>(gpHttpClient&)>;

  gpLeaseGuardProcess(const gpLeaseSettings& aSettings,
                      std::unique_ptr<gpAnnouncementPort> aAnnouncements,
                      const MakeTarget& aMakeTarget,
                      const MakeStore& aMakeStore);

  /// Opens the event log and listens.
  absl::Status Open();
  void CloseServers(std::function<void()> aClosed) override;
  void OnEntriesFound(std::vector<gpAddress> aEntries) override;

private:
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  /// Reads the record of the target that an earlier process has stored, so that
  /// the target can be given work before its next heartbeat.
  void ReadTargetRecord();
  /// Logs that the store could not be used for the record of the target.
  void WriteStoreFailure(const absl::Status& aStatus);
  std::string StatusFields() const;
  template<typename Input>
  void Reduce(Input aInput);
  void Execute(gpLeaseEffect& aEffect);

  gpLeaseSettings settings_;
  std::unique_ptr<gpAnnouncementPort> announcementPort_;
  std::unique_ptr<gpTargetPort> targetPort_;
  std::unique_ptr<gpStorePort> store_;
  /// The record that ReadTargetRecord of the next process reads.
  gpStoreWriter targetRecord_;
  gpHttpServer heartbeatServer_;
  std::unique_ptr<gpLeaseGuardReducer> reducer_;
};

#pragma once

#include <map>
#include <memory>
#include <string>

#include "gpJobPort.h"
#include "gpLeaseEntryReducer.h"
#include "gpLeaseNode.h"
#include "gpStoreFollower.h"
#include "gpStoreWriter.h"

/** \class gpLeaseEntryProcess
 * \brief Runs an entry for best-effort jobs: passes events to its reducer,
 * which makes the decisions, and executes the effects that it returns.
 */
class gpLeaseEntryProcess : public gpLeaseNode
{
public:
  /// Makes the store port from the HTTP client of this process.
  using MakeStore = std::function<std::unique_ptr<gpStorePort>(gpHttpClient&)>;

  gpLeaseEntryProcess(const gpLeaseSettings& aSettings,
                      std::unique_ptr<gpJobPort> aJobs,
                      const MakeStore& aMakeStore);

  /// Opens the event log, listens, and starts to read the store.
  absl::Status Open();
  void CloseServers(std::function<void()> aClosed) override;
  void OnEntriesFound(std::vector<gpAddress> aEntries) override;

private:
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  void OnCall(gpRequestId aRequest, gpLeaseJob aJob);
  void OnCall(gpRequestId aRequest, const gpJobStateCall& aCall);
  void OnCall(gpRequestId aRequest, const gpJobCancelCall& aCall);
  void OnCall(gpRequestId aRequest, const gpPendingCall& aCall);
  /// Drops a job whose caller disconnected before the job was admitted.
  void DropJob(gpRequestId aRequest, const std::string& aJob);
  /// Responds with an error if no queue has this host and path; returns false
  /// if there is one.
  bool RefuseUnknown(gpRequestId aRequest,
                     const std::string& aHost,
                     const std::string& aPath);
  void OnLinkOpened(const gpLinkOpened& aEvent);
  void OnLinkLost(const gpLinkLost& aEvent);
  void OnMessage(const gpMessageReceived& aEvent);
  void OnStoreRecord(const gpStoreRecord& aRecord);
  void OnEntryRecord(const gpStoreRecord& aRecord);
  /// Adopts a configuration from the store or a peer if it's newer than the
  /// current one, and sends it to the other entries.
  void AdoptConfiguration(const std::string& aText);
  /// The description of this entry for other processes.
  gpKnownEntry MakeSelf() const;
  std::string StatusFields() const;

  template<typename Input>
  void Reduce(Input aInput);
  void Execute(gpLeaseEffect& aEffect);

  gpLeaseSettings settings_;
  std::unique_ptr<gpJobPort> jobPort_;
  std::unique_ptr<gpStorePort> store_;
  gpHttpServer callerServer_;
  gpStoreFollower configurationFollower_;
  gpStoreFollower entriesFollower_;
  /// This entry's record in the store, by which other processes find it.
  gpStoreWriter registration_;
  std::unique_ptr<gpLeaseEntryReducer> reducer_;
  /// Arrival times of the submissions that have not been answered.
  std::map<gpRequestId, gpTime> receivedAt_;
  std::map<gpLinkId, gpPeer> peers_;
};

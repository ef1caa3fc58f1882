#pragma once

#include <map>
#include <memory>
#include <string>

#include "gpJobPort.h"
#include "gpLeaseEntryReducer.h"
#include "gpLeaseNode.h"
#include "gpStoreFollower.h"

/** \class gpLeaseEntryProcess
 * \brief Runs an entry for best-effort jobs: gives events to its reducer and
 * carries out effects.
 */
class gpLeaseEntryProcess : public gpLeaseNode
{
public:
  /// Makes the store port, which needs the client of this process.
  using MakeStore = std::function<std::unique_ptr<gpStorePort>(gpHttpClient&)>;

  gpLeaseEntryProcess(const gpLeaseSettings& aSettings,
                      std::unique_ptr<gpJobPort> aJobs,
                      const MakeStore& aMakeStore);

  absl::Status Open();
  void CloseServers(std::function<void()> aClosed) override;
  void OnEntriesFound(std::vector<gpAddress> aEntries) override;

private:
  void OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp);
  void OnCall(gpRequestId aRequest, gpLeaseJob aJob);
  void OnCall(gpRequestId aRequest, const gpJobStateCall& aCall);
  void OnCall(gpRequestId aRequest, const gpJobCancelCall& aCall);
  void OnCall(gpRequestId aRequest, const gpPendingCall& aCall);
  /// Drops a job whose caller has left before it was taken in.
  void DropJob(gpRequestId aRequest, const std::string& aJob);
  /// Answers a question about a queue that isn't there. False if it is.
  bool RefuseUnknown(gpRequestId aRequest,
                     const std::string& aHost,
                     const std::string& aPath);
  void OnLinkOpened(const gpLinkOpened& aEvent);
  void OnLinkLost(const gpLinkLost& aEvent);
  void OnMessage(const gpMessageReceived& aEvent);
  void OnStoreRecord(const gpStoreRecord& aRecord);
  void OnEntryRecord(const gpStoreRecord& aRecord);
  /// Takes a configuration over, from the store or a peer, and passes it on.
  void TakeConfiguration(const std::string& aText);
  /// This entry as others hear of it.
  gpKnownEntry MakeSelf() const;
  /// Writes this entry's address to the store until that has succeeded.
  void Register();
  std::string StatusFields() const;

  template<typename Input>
  void Reduce(Input aInput);
  void Carry(gpLeaseEffect& aEffect);

  gpLeaseSettings settings_;
  std::unique_ptr<gpJobPort> jobs_;
  std::unique_ptr<gpStorePort> store_;
  gpHttpServer callers_;
  gpStoreFollower configuration_;
  gpStoreFollower entries_;
  std::unique_ptr<gpLeaseEntryReducer> reducer_;
  std::map<gpRequestId, gpTime> receivedAt_;
  std::map<gpLinkId, gpPeer> peers_;
};

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gpTestFolder.h"
#include "gpTestHttp.h"
#include "gpTestProcess.h"

/** \class gpPlatformClusterOptions
 * \brief Numbers of processes of a cluster, and whether it has proxies.
 */
struct gpPlatformClusterOptions
{
  std::size_t entries_ = 1;
  std::size_t guards_ = 1;
  /// Whether there's a fault proxy in front of each entry's link port, each
  /// worker and the store.
  bool proxies_ = false;
};

/** \class gpPlatformCluster
 * \brief Entry and guard processes with stand-ins for the platform: a store,
 * and a worker for each guard.
 */
class gpPlatformCluster
{
public:
  gpPlatformCluster(std::size_t aEntries, std::size_t aGuards);
  explicit gpPlatformCluster(gpPlatformClusterOptions aOptions);

  /// Stores a configuration with one route, /hold/ of the host "ponds".
  void Configure(std::uint64_t aVersion);
  /// Waits until each entry is linked to each guard and has answered a job with
  /// status 200.
  void WaitUntilReady();
  /// Submits a job of aTasks tasks that run for aRunTime each. aSpecSuffix is
  /// inserted at the end of the spec's JSON object.
  gpTestCall Submit(std::size_t aEntry,
                    const std::string& aJob,
                    int aTasks,
                    gpMillis aRunTime,
                    const std::string& aSpecSuffix = "");
  /// Starts the process again after its exit, and sends the new addresses to
  /// the proxy and worker that use them.
  void StartEntryAgain(std::size_t aIndex);
  void StartGuardAgain(std::size_t aIndex);
  void StartWorkerAgain(std::size_t aIndex);
  /// Kills the guard and starts it again.
  void RestartGuard(std::size_t aIndex);
  gpHttpReply Control(gpTestProcess& aStandIn, const std::string& aBody);
  /// Number of starts of tasks of the job, over all workers.
  std::uint64_t CountStarts(const std::string& aJob);
  std::uint64_t CountRunning();

  gpTestProcess& Store() { return *store_; }
  gpTestProcess& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  gpTestProcess& Guard(std::size_t aIndex) { return *guards_[aIndex]; }
  gpTestProcess& Worker(std::size_t aIndex) { return *workers_[aIndex]; }
  /// The proxies in front of an entry's link port, a worker and the store.
  gpTestProcess& EntryProxy(std::size_t aIndex)
  {
    return *entryProxies_[aIndex];
  }
  gpTestProcess& WorkerProxy(std::size_t aIndex)
  {
    return *workerProxies_[aIndex];
  }
  gpTestProcess& StoreProxy() { return *storeProxy_; }
  std::size_t CountEntries() const { return entries_.size(); }
  std::size_t CountGuards() const { return guards_.size(); }
  /// The file in which a worker records its runs. Restarts append to it.
  std::filesystem::path WorkerJournal(std::size_t aIndex) const;
  gpTestHttp& Http() { return http_; }

private:
  std::unique_ptr<gpTestProcess> StartStandIn(
    const std::string& aName,
    const std::string& aProgram,
    const std::vector<std::string>& aMoreArguments = {});
  std::unique_ptr<gpTestProcess> StartProxy(const std::string& aName);
  /// Sets the address to which the proxy forwards connections.
  void SetProxyServer(gpTestProcess& aProxy, const gpAddress& aServer);
  void StartEntry(std::size_t aIndex);
  void StartGuard(std::size_t aIndex);
  /// Sends the present address of its guard to the worker.
  void SendGuardAddress(std::size_t aIndex);
  /// Writes a settings file and returns its path.
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  /// The settings that entries and guards share.
  std::string CommonSettings(const std::string& aName) const;

  gpPlatformClusterOptions options_;
  gpTestFolder folder_;
  gpTestHttp http_;
  std::unique_ptr<gpTestProcess> store_;
  std::unique_ptr<gpTestProcess> storeProxy_;
  std::vector<std::unique_ptr<gpTestProcess>> entryProxies_;
  std::vector<std::unique_ptr<gpTestProcess>> workerProxies_;
  std::vector<std::unique_ptr<gpTestProcess>> entries_;
  std::vector<std::unique_ptr<gpTestProcess>> workers_;
  std::vector<std::unique_ptr<gpTestProcess>> guards_;
  gpAddress storeAddress_;
  std::string entryLinks_;
};

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gpTestFolder.h"
#include "gpTestHttp.h"
#include "gpTestProcess.h"

/** \class gpPlatformClusterOptions
 * \brief The processes of a cluster.
 */
struct gpPlatformClusterOptions
{
  std::size_t entries_ = 1;
  std::size_t guards_ = 1;
  /// A fault proxy before each entry's links, each worker and the store.
  bool proxies_ = false;
};

/** \class gpPlatformCluster
 * \brief Real entries and guards on the platform's stand-ins: a store, and a
 * worker beside each guard.
 */
class gpPlatformCluster
{
public:
  gpPlatformCluster(std::size_t aEntries, std::size_t aGuards);
  explicit gpPlatformCluster(gpPlatformClusterOptions aOptions);

  /// Applies a configuration with one queue at /hold/ of the host "ponds".
  void Configure(std::uint64_t aVersion);
  /// Waits until each entry is linked with each guard and has a target.
  void WaitUntilReady();
  /// Submits a job of so many tasks; each takes that time.
  gpTestCall Submit(std::size_t aEntry,
                    const std::string& aJob,
                    int aTasks,
                    gpMillis aRunTime,
                    const std::string& aSpecEnd = "");
  /// Starts the process again after its end; others are told where.
  void StartEntryAgain(std::size_t aIndex);
  void StartGuardAgain(std::size_t aIndex);
  void StartWorkerAgain(std::size_t aIndex);
  /// Kills the guard and starts it again.
  void RestartGuard(std::size_t aIndex);
  gpHttpReply Control(gpTestProcess& aStandIn, const std::string& aBody);
  /// How often a task of the job was started, over all workers.
  std::uint64_t CountStarts(const std::string& aJob);
  std::uint64_t CountRunning();

  gpTestProcess& Store() { return *store_; }
  gpTestProcess& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  gpTestProcess& Guard(std::size_t aIndex) { return *guards_[aIndex]; }
  gpTestProcess& Worker(std::size_t aIndex) { return *workers_[aIndex]; }
  /// The proxies before an entry's links, a worker and the store.
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
  /// Where a worker writes its runs, over all its starts.
  std::filesystem::path WorkerJournal(std::size_t aIndex) const;
  gpTestHttp& Http() { return http_; }

private:
  std::unique_ptr<gpTestProcess> StartStandIn(
    const std::string& aName,
    const std::string& aProgram,
    const std::vector<std::string>& aMore = {});
  std::unique_ptr<gpTestProcess> StartProxy(const std::string& aName);
  /// What is served at that address is found behind the proxy from now on.
  void PointProxy(gpTestProcess& aProxy, const gpAddress& aServer);
  void StartEntry(std::size_t aIndex);
  void StartGuard(std::size_t aIndex);
  /// Tells the worker where its guard listens now.
  void TellWorker(std::size_t aIndex);
  /// Writes a settings file and returns its name.
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  /// The settings that entries and guards have in common.
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

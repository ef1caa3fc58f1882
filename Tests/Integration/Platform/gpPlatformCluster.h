#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gpTestFolder.h"
#include "gpTestHttp.h"
#include "gpTestProcess.h"

/** \class gpPlatformCluster
 * \brief Real entries and guards on the platform's stand-ins: a store, and a
 * worker beside each guard.
 */
class gpPlatformCluster
{
public:
  gpPlatformCluster(std::size_t aEntries, std::size_t aGuards);

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
  /// Kills the guard and starts it again; its worker is told where.
  void RestartGuard(std::size_t aIndex);
  gpHttpReply Control(gpTestProcess& aStandIn, const std::string& aBody);
  /// How often a task of the job was started, over all workers.
  std::uint64_t CountStarts(const std::string& aJob);
  std::uint64_t CountRunning();

  gpTestProcess& Store() { return *store_; }
  gpTestProcess& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  gpTestProcess& Guard(std::size_t aIndex) { return *guards_[aIndex]; }
  gpTestProcess& Worker(std::size_t aIndex) { return *workers_[aIndex]; }
  gpTestHttp& Http() { return http_; }

private:
  std::unique_ptr<gpTestProcess> StartStandIn(const std::string& aName,
                                              const std::string& aProgram);
  void StartEntry(std::size_t aIndex);
  void StartGuard(std::size_t aIndex);
  /// Writes a settings file and returns its name.
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  /// The settings that entries and guards have in common.
  std::string CommonSettings(const std::string& aName) const;

  gpTestFolder folder_;
  gpTestHttp http_;
  std::unique_ptr<gpTestProcess> store_;
  std::vector<std::unique_ptr<gpTestProcess>> entries_;
  std::vector<std::unique_ptr<gpTestProcess>> workers_;
  std::vector<std::unique_ptr<gpTestProcess>> guards_;
  std::string entryLinks_;
};

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gpProcessSettings.h"
#include "gpTestFolder.h"
#include "gpTestHttp.h"
#include "gpTestJob.h"
#include "gpTestJournals.h"
#include "gpTestProcess.h"

/** \class gpTestClusterOptions
 * \brief Number and settings of the processes of a cluster.
 */
struct gpTestClusterOptions
{
  std::size_t entries_ = 2;
  /// Targets, each with its guard, spread over three data centres.
  std::size_t targets_ = 3;
  std::size_t slots_ = 8;
  /// Run time factors of the first targets (--speed); 1 for the others.
  std::vector<double> speeds_{};
  /// Whether links to each guard go through a fault proxy.
  bool linkProxies_ = false;
  std::string service_ = "pond-order";
  std::string region_ = "gulf-south";
  gpTimings timings_{};
  /// Timings of the guards; timings_ if not set.
  std::optional<gpTimings> guardTimings_{};
};

/** \class gpTestCluster
 * \brief A log service, entries, and guards with their targets, as processes.
 *
 * A killed process can be restarted by its Start() and listens on the same
 * ports again. All methods throw gpTestFailure.
 */
class gpTestCluster
{
public:
  /// Starts all processes and waits until they listen.
  explicit gpTestCluster(gpTestClusterOptions aOptions = {});
  ~gpTestCluster();
  gpTestCluster(const gpTestCluster&) = delete;
  gpTestCluster& operator=(const gpTestCluster&) = delete;

  /// Appends a configuration, given as the JSON text of its file, to the log
  /// service. Its version is one above the last one applied by this method.
  void Apply(const std::string& aFile);
  /// A configuration with the service and the team garden-center-7; all other
  /// fields have their defaults.
  std::string DefaultConfiguration() const;
  /// Waits until each entry is ready and linked to as many members as there are
  /// running targets with a running guard.
  void WaitUntilReady();
  /// Starts one more target with its guard and returns its index.
  std::size_t AddTarget();

  std::size_t GetEntryCount() const { return entries_.size(); }
  gpTestProcess& Log() { return *log_; }
  gpTestProcess& Entry(std::size_t aIndex) { return *entries_.at(aIndex); }
  gpTestProcess& Guard(std::size_t aIndex);
  gpTestProcess& Target(std::size_t aIndex);
  /// The fault proxy in front of the link port of a guard.
  gpTestProcess& Proxy(std::size_t aIndex);
  gpTestHttp& Http() { return http_; }

  /// Submits a job to an entry.
  gpTestCall Submit(std::size_t aEntry, const gpTestJob& aJob);
  gpTestAnswer SubmitAndWait(std::size_t aEntry, const gpTestJob& aJob);
  /// Sends POST /control to a stand-in.
  void Control(gpTestProcess& aStandIn, const std::string& aCommand);
  /// Returns the body of GET /control of a stand-in.
  std::string Show(gpTestProcess& aStandIn);

  /// Numbers of starts by "<submission>/<task>", over all targets, including
  /// killed ones.
  std::map<std::string, std::size_t> ReadStarts() const;
  std::size_t TotalStarts() const;
  /// Number of starts at one target.
  std::size_t StartsAt(std::size_t aTarget) const;
  std::size_t MaxStartsOfAnyTask() const;
  std::size_t StartsOf(const std::string& aKey, std::uint32_t aTask) const;

private:
  using ProcessPtr = std::unique_ptr<gpTestProcess>;

  /// A target with its guard and the guard's proxy.
  struct TargetGroup
  {
    ProcessPtr proxy_;
    ProcessPtr guard_;
    ProcessPtr target_;
  };

  ProcessPtr StartStandIn(const std::string& aName,
                          const std::string& aProgram,
                          std::vector<std::string> aArguments);
  template<typename Settings>
  ProcessPtr StartProcess(const std::string& aProgram, Settings aSettings);
  template<typename Settings>
  Settings CommonSettings(const std::string& aName, std::size_t aIndex) const;
  void AddEntry();
  ProcessPtr StartGuard(std::size_t aIndex, const gpAddress& aAdvertised);
  ProcessPtr StartTarget(std::size_t aIndex, const gpAddress& aGuard);
  bool IsReady(gpTestProcess& aEntry);

  gpTestClusterOptions options_;
  gpTestFolder folder_;
  gpTestHttp http_;
  gpTestJournals journals_;
  ProcessPtr log_;
  std::vector<ProcessPtr> entries_;
  std::vector<TargetGroup> groups_;
  std::uint64_t version_ = 0;
};

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gpProcessSettings.h"
#include "gpTestFolder.h"
#include "gpTestHttp.h"
#include "gpTestJob.h"
#include "gpTestJournals.h"
#include "gpTestProcess.h"

/** \class gpTestClusterOptions
 * \brief What a cluster is made of.
 */
struct gpTestClusterOptions
{
  std::size_t entries_ = 2;
  /// Targets, each with its guard, spread over three data centres.
  std::size_t targets_ = 3;
  std::size_t slots_ = 8;
  /// Factors on the run times of the first targets; 1 for the others.
  std::vector<double> speeds_{};
  /// Whether a fault proxy stands before the link port of each guard.
  bool linkProxies_ = false;
  std::string service_ = "pond-order";
  std::string region_ = "gulf-south";
  gpTimings timings_{};
};

/** \class gpTestCluster
 * \brief A log service, entries, and guards with their targets, as processes.
 *
 * A process that was killed is started again by its Start(), on its old
 * ports. All throw gpTestFailure.
 */
class gpTestCluster
{
public:
  /// Starts all processes, and waits until they listen.
  explicit gpTestCluster(gpTestClusterOptions aOptions = {});
  ~gpTestCluster();
  gpTestCluster(const gpTestCluster&) = delete;
  gpTestCluster& operator=(const gpTestCluster&) = delete;

  /// Appends a configuration to the log: the JSON text of a file. Its version
  /// is the next one after the last applied by this method.
  void Apply(const std::string& aFile);
  /// A configuration with the service and the team garden-center-7, and the
  /// defaults for all else.
  std::string DefaultConfiguration() const;
  /// Waits until each entry is ready and knows as many members as targets run.
  void WaitUntilReady();
  /// One more target with its guard; returns its index.
  std::size_t AddTarget();

  gpTestProcess& Log() { return *log_; }
  gpTestProcess& Entry(std::size_t aIndex) { return *entries_.at(aIndex); }
  gpTestProcess& Guard(std::size_t aIndex);
  gpTestProcess& Target(std::size_t aIndex);
  /// The proxy before the link port of a guard.
  gpTestProcess& Proxy(std::size_t aIndex);
  gpTestHttp& Http() { return http_; }

  /// Submits a job to an entry.
  gpTestCall Submit(std::size_t aEntry, const gpTestJob& aJob);
  gpTestAnswer SubmitAndWait(std::size_t aEntry, const gpTestJob& aJob);
  /// POST /control of a stand-in.
  void Control(gpTestProcess& aStandIn, const std::string& aCommand);
  /// GET /control of a stand-in.
  std::string Show(gpTestProcess& aStandIn);

  /// Starts at all targets, also at those that were killed.
  std::size_t TotalStarts() const;
  /// Starts at one target.
  std::size_t StartsAt(std::size_t aTarget) const;
  std::size_t MaxStartsOfAnyTask() const;
  std::size_t StartsOf(const std::string& aKey, std::uint32_t aTask) const;

private:
  using ProcessPtr = std::unique_ptr<gpTestProcess>;

  /// A target and what stands beside it.
  struct Place
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
  std::vector<Place> places_;
  std::uint64_t version_ = 0;
};

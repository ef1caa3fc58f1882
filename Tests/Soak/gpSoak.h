#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpPlatformCluster.h"
#include "gpSoakCallers.h"
#include "gpSoakPlan.h"
#include "gpSoakRecord.h"

/** \class gpSoak
 * \brief Runs a fault plan on real processes, then checks the guarantees of
 * the system against what callers and workers observed.
 */
class gpSoak
{
public:
  explicit gpSoak(gpSoakPlan aPlan);

  /// Runs the whole plan. Returns the violated guarantees, one line each.
  std::vector<std::string> Run();
  /// The number of submissions by outcome, for a report.
  std::string Summary() const { return callers_.Summary(); }

private:
  using Step = void (gpSoak::*)(const gpSoakFault&);
  struct Steps
  {
    Step begin_;
    Step end_;
  };
  /// The faults that are active at an entry, guard or worker. Faults may
  /// overlap, so kills and freezes are counted.
  struct ActiveFaults
  {
    int kills_ = 0;
    int freezes_ = 0;
    bool terminating_ = false;
  };

  static Steps StepsOf(gpSoakFaultKind aKind);

  void KillEntry(const gpSoakFault& aFault);
  void StartEntry(const gpSoakFault& aFault);
  void KillGuard(const gpSoakFault& aFault);
  void StartGuard(const gpSoakFault& aFault);
  void KillWorker(const gpSoakFault& aFault);
  void StartWorker(const gpSoakFault& aFault);
  void TermEntry(const gpSoakFault& aFault);
  void FreezeEntry(const gpSoakFault& aFault);
  void ThawEntry(const gpSoakFault& aFault);
  void FreezeGuard(const gpSoakFault& aFault);
  void ThawGuard(const gpSoakFault& aFault);
  /// The stand-in that injects the fault: a proxy, or the store.
  gpTestProcess& StandInOf(const gpSoakFault& aFault);
  void InjectFault(const gpSoakFault& aFault);
  void ClearFault(const gpSoakFault& aFault);
  void LoseStarts(const gpSoakFault& aFault);
  void LoseStops(const gpSoakFault& aFault);
  /// Sends the command to the stand-in of the fault's worker, if it's running.
  /// Returns whether it is.
  bool ControlWorker(const gpSoakFault& aFault, const std::string& aCommand);
  void DrainWorker(const gpSoakFault& aFault);
  void EndDrain(const gpSoakFault& aFault);
  /// Ends the recorded drains of the worker: it no longer announces that it
  /// leaves, or was killed; a restarted worker announces no drain.
  void CloseDrains(std::size_t aWorker);
  void ChangeConfiguration(const gpSoakFault& aFault);
  void SendForeignHeartbeats(const gpSoakFault& aFault);
  void RepeatJobs(const gpSoakFault& aFault);
  void KillAll(const gpSoakFault& aFault);
  void StartAll(const gpSoakFault& aFault);
  /// Takes a step of the fault at each entry, then one at each guard.
  void ForAll(gpSoakFault aFault, Step aEntryStep, Step aGuardStep);
  void NoAction(const gpSoakFault& aFault);

  std::size_t EntryOf(const gpSoakFault& aFault) const;
  std::size_t GuardOf(const gpSoakFault& aFault) const;
  bool IsEntryRunning(std::size_t aEntry);
  /// Restarts entries that have exited after a SIGTERM.
  void RestartStoppedEntries();
  /// Checks that the configuration versions of an entry have only increased.
  /// Called before the entry is stopped, and at the end.
  void CheckVersions(std::size_t aEntry);
  /// Checks that after the last fault all entries complete jobs and have
  /// applied the last configuration.
  void CheckRecovery();
  void WaitForCallers();
  /// Records that the entry is killed or frozen for aLength: lost connections
  /// in this time are no fault of a graceful shutdown.
  void NoteDisruption(std::size_t aEntry, gpMillis aLength);
  /// Handles answers and exited entries, then sleeps for a poll interval.
  void PollAndSleep();

  gpSoakPlan plan_;
  gpPlatformCluster cluster_;
  gpSoakCallers callers_;
  gpSoakRecord record_;
  std::vector<ActiveFaults> entries_;
  std::vector<ActiveFaults> guards_;
  std::vector<ActiveFaults> workers_;
  /// When each worker was killed.
  std::vector<std::vector<gpTime>> workerKills_;
  /// The foreign heartbeats that were sent, whose answers may be still to come.
  std::vector<gpTestCall> heartbeats_;
  std::uint64_t version_ = 1;
  std::vector<std::string> violations_;
};

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gpPlatformCluster.h"
#include "gpSoakCallers.h"
#include "gpSoakPlan.h"
#include "gpSoakRecord.h"

/** \class gpSoak
 * \brief Carries out a plan on real processes, and judges what callers and
 * workers saw.
 */
class gpSoak
{
public:
  explicit gpSoak(gpSoakPlan aPlan);

  /// Runs to the end. Returns the promises that were broken, one line each.
  std::vector<std::string> Run();
  /// Answers by outcome, for a report.
  std::string Summary() const { return callers_.Summary(); }

private:
  using Step = void (gpSoak::*)(const gpSoakFault&);
  struct Steps
  {
    Step begin_;
    Step end_;
  };
  /// An entry, guard or worker, whose faults may overlap.
  struct Subject
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
  /// The stand-in that causes the fault: a proxy, or the store.
  gpTestProcess& StandInOf(const gpSoakFault& aFault);
  void Harm(const gpSoakFault& aFault);
  void Heal(const gpSoakFault& aFault);
  void LoseStarts(const gpSoakFault& aFault);
  void DrainWorker(const gpSoakFault& aFault);
  void EndDrain(const gpSoakFault& aFault);
  /// The worker says no more that it leaves; a new start of it never did.
  void CloseDrains(std::size_t aWorker);
  void ChangeConfiguration(const gpSoakFault& aFault);
  void Nothing(const gpSoakFault& aFault);

  std::size_t EntryOf(const gpSoakFault& aFault) const;
  std::size_t GuardOf(const gpSoakFault& aFault) const;
  bool Takes(std::size_t aEntry);
  /// Starts entries again that have ended after a SIGTERM.
  void FollowShutdowns();
  /// An entry is about to end: its versions must have risen only.
  void CheckVersions(std::size_t aEntry);
  /// After the last fault, all entries serve and know the last configuration.
  void CheckRecovery();
  void WaitForCallers();
  /// Struck entries, for the judge.
  void NoteStruck(std::size_t aEntry, gpMillis aLength);
  void Sleep();

  gpSoakPlan plan_;
  gpPlatformCluster cluster_;
  gpSoakCallers callers_;
  gpSoakRecord record_;
  std::vector<Subject> entries_;
  std::vector<Subject> guards_;
  std::vector<Subject> workers_;
  /// When each worker was killed.
  std::vector<std::vector<gpTime>> workerKills_;
  std::uint64_t version_ = 1;
  std::vector<std::string> broken_;
};

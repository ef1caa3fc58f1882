#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gpChangingCapacity.h"
#include "gpDeadlyTasks.h"
#include "gpForeignWriter.h"
#include "gpHistoryRandom.h"
#include "gpLeaseEntryReducer.h"
#include "gpLeaseGuardReducer.h"
#include "gpSimTarget.h"

/** \class gpLeaseHistoryOptions
 * \brief Size of a history, and the rates of its faults.
 */
struct gpLeaseHistoryOptions
{
  std::uint64_t seed_ = 1;
  std::size_t entries_ = 2;
  std::size_t guards_ = 3;
  /// Number of entries that each guard is linked with.
  std::size_t links_ = 8;
  /// Time in which callers submit jobs and faults are injected.
  gpMillis length_{ 6000 };
  /// Mean time between faults; 0 for none.
  gpMillis faultPause_{ 250 };
  /// Calls to targets that get no answer, of 1000; half of them are carried
  /// out, possibly late.
  unsigned lostOrders_ = 40;
  /// Whether targets are unreachable for some time while they run.
  bool targetCuts_ = false;
  /// Whether the stops of targets get no answer for some time, in place of
  /// targetCuts_. More runs don't end by themselves then.
  bool hangingStops_ = false;
  /// Whether the capacities of targets shrink and grow while they run.
  bool capacityChanges_ = false;
  /// Jobs of the second queue, of 1000, with a task that crashes each target
  /// that starts it. Half of all jobs go to the second queue.
  unsigned deadlyJobs_ = 0;
  /// Time between the start of such a task and the crash of its target.
  gpMillis crashDelay_{ 10 };
  /// Whether other writers send heartbeats of targets, delayed ones among them;
  /// restarted targets have new IDs then, or keep theirs.
  bool foreignHeartbeats_ = false;
  /// Whether the store has records of other writers, which are well-formed:
  /// second addresses of entries, and targets that a guard doesn't have. With
  /// foreignHeartbeats_, many foreign heartbeats come at once at times.
  bool foreignRecords_ = false;
  /// Whether callers submit a job again that failed for another reason than
  /// its tasks.
  bool resubmitsFailed_ = false;
  /// Whether entries have links with each other.
  bool peerLinks_ = false;
  /// Whether callers cancel jobs, at any entry, and requests arrive once more,
  /// at any entry, after the job was completed or cancelled. Entries are
  /// neither killed nor frozen then, as what they know of ended jobs is lost
  /// with them.
  bool repeats_ = false;
  /// Whether the entry that has given the last order is killed at two fifths
  /// and at four fifths of the length.
  bool giverKills_ = false;
  /// Whether a quarter of the targets shrink to kShrunkShare of their capacity,
  /// and callers submit kBurst times as many jobs in the middle of that time.
  bool shrunkBurst_ = false;
  /// Longest time until a target carries out a stop that it has received; its
  /// run goes on meanwhile.
  gpMillis slowestStop_{ 0 };
};

/** \class gpLeaseHistory
 * \brief Simulates one history from a seed: real entry and guard reducers in
 * simulated time, with simulated targets, links and callers.
 *
 * Injected faults: links break at both ends or become silent, processes are
 * killed, restarted and frozen, targets crash, clocks drift, orders are lost or
 * carried out late. Callers disconnect, or submit their job again at any entry.
 * The invariants are checked after every event: no task has two runs at one
 * time, no target exceeds its capacity, no request is answered twice, a job is
 * only completed with all of its tasks, a job that was answered not_run never
 * runs, runs end within a bound after their caller has left, a task that has
 * crashed three targets isn't started three times more, and no task is started
 * later than a bound after the cancel of its job.
 */
class gpLeaseHistory
{
public:
  explicit gpLeaseHistory(gpLeaseHistoryOptions aOptions);

  /// Runs the history. Returns the violated invariants, with the seed.
  std::vector<std::string> Run();
  std::size_t CountCompleted() const { return completed_; }
  /// Number of jobs of the first queue, all of which can be done, and how many
  /// of them were completed.
  std::size_t CountFirstQueueJobs() const { return firstQueueJobs_; }
  std::size_t CountFirstQueueCompleted() const { return firstQueueCompleted_; }
  /// Number of jobs without a deadly task that were given up for crashes.
  std::size_t CountWronglyGivenUp() const { return wronglyGivenUp_; }
  /// Number of targets that deadly tasks have crashed.
  std::size_t CountDeadlyCrashes() const { return deadly_.CountCrashes(); }
  std::size_t CountRefused() const { return refused_; }
  std::size_t CountStarts() const { return starts_; }
  /// Number of links that guards closed because other entries replaced them.
  std::size_t CountMoves() const { return moves_; }
  /// Number of starts at a target that had a run which was being stopped, and
  /// of kills of the entry that had given the last order.
  std::size_t CountStartsBesideStops() const { return startsBesideStops_; }
  std::size_t CountGiverKills() const { return giverKills_; }

private:
  struct Process
  {
    std::size_t index_ = 0;
    gpPeer peer_;
    std::unique_ptr<gpLeaseEntryReducer> entry_;
    std::unique_ptr<gpLeaseGuardReducer> guard_;
    /// Incremented with each restart; events of earlier generations are
    /// dropped.
    std::uint64_t generation_ = 0;
    bool alive_ = false;
    gpTime frozenUntil_;
    gpTime wakeAt_;
    /// Addresses that the process dials.
    std::set<gpAddress> watched_;
  };
  struct Link
  {
    /// The processes at both ends: [0] has dialed the link, [1] is an entry.
    Process* ends_[2] = { nullptr, nullptr };
    gpAddress dialed_;
    std::uint64_t generations_[2] = { 0, 0 };
    /// Whether each end considers the link open.
    bool open_[2] = { true, true };
    bool silent_ = false;
    /// Arrival time of the last message, by sending end: messages of a link
    /// keep their order.
    gpTime lastAt_[2];
  };
  struct Caller
  {
    std::string job_;
    std::size_t entry_ = 0;
    std::uint64_t entryGeneration_ = 0;
    bool answered_ = false;
    bool left_ = false;
    /// Whether it has submitted the job again.
    bool resubmitted_ = false;
    gpTime leftAt_;
    int tries_ = 1;
  };

  std::size_t Draw(std::size_t aCount) { return random_.Draw(aCount); }
  bool Chance(unsigned aPerThousand) { return random_.Chance(aPerThousand); }
  gpMicros DrawLatency();
  void At(gpTime aWhen, std::function<void()> aEvent);
  /// Calls the event at the process at aWhen, or when its freeze ends; drops it
  /// if the process has been killed or restarted.
  void AtProcess(Process& aProcess,
                 gpTime aWhen,
                 const std::function<void()>& aEvent);

  std::uint64_t WallClockMs() const;
  /// Starts a new incarnation of the process.
  void Begin(Process& aProcess, std::size_t aIndex, gpRole aRole);
  static gpAddress AddressOf(std::size_t aEntry);
  static std::size_t EntryAt(const gpAddress& aAddress);
  /// The addresses of all entries.
  gpEntriesFound ListEntries() const;
  /// Names a second address of an entry to a guard, again and again.
  void NameSecondAddress();
  /// The record of its target that a guard reads when it starts, if there is
  /// one. It may be of another writer.
  std::optional<gpTargetRecord> ReadRecord(std::size_t aGuard);
  void StartEntry(std::size_t aIndex);
  void StartGuard(std::size_t aIndex);
  void StartTarget(std::size_t aGuard);
  /// Opens a link from the process to the entry at the address, unless there
  /// is one.
  void Dial(Process& aProcess, const gpAddress& aAddress);
  /// The entry closes its end of an earlier link with the process.
  void CloseEarlierLink(const Process& aProcess, const Process& aEntry);
  /// The end of the link at which the process is.
  static int EndOf(const Link& aLink, const Process& aProcess)
  {
    return aLink.ends_[0] == &aProcess ? 0 : 1;
  }
  /// Whether the process is at an end of the link that it considers open.
  static bool IsOpenAt(const Link& aLink, const Process& aProcess)
  {
    const int end = EndOf(aLink, aProcess);
    return aLink.ends_[end] == &aProcess && aLink.open_[end];
  }
  void Heartbeat(std::size_t aGuard);
  /// Sends the guard a heartbeat that its target has not written, or not now.
  void ForeignHeartbeat(std::size_t aGuard);
  template<typename Input>
  void GiveEntry(std::size_t aIndex, Input aInput);
  template<typename Input>
  void GiveGuard(std::size_t aIndex, Input aInput);
  /// Gives an event that entries and guards handle.
  template<typename Input>
  void Give(Process& aProcess, Input aInput);
  void CarryOut(Process& aProcess, std::vector<gpLeaseEffect> aEffects);
  void CarryWatch(Process& aProcess, const gpAddress& aAddress);
  void CarryUnwatch(Process& aProcess, const gpAddress& aAddress);
  void CarrySend(Process& aProcess, gpSend& aSend);
  void CarryStart(std::size_t aGuard, const gpStartRun& aStart);
  void CarryStop(std::size_t aGuard, const gpStopRun& aStop);
  void CarryPoll(std::size_t aGuard, const gpPollTarget& aPoll);
  void CarryIdentify(std::size_t aGuard, const gpIdentifyTarget& aCall);
  void OnAnswer(gpRequestId aRequest, const gpLeaseAnswer& aAnswer);

  void SubmitLater();
  void Submit(const std::string& aJob, int aTries);
  /// The path of the queue to which the job belongs.
  std::string PathOf(const std::string& aJob) const;
  /// A caller that lost its connection submits its job again, once.
  void SubmitAgain(gpRequestId aRequest);
  /// The caller cancels the job at any entry.
  void Cancel(const std::string& aJob);
  /// The request of a job that was completed or cancelled may arrive once more.
  void RepeatLater(const Caller& aCaller);
  void Fault();
  void BreakLink(bool aSilent);
  void Kill(Process& aProcess);
  void Freeze(Process& aProcess);
  /// Crashes the target; the polls that wait there break.
  void CrashTarget(std::size_t aGuard, gpMillis aDowntime);
  /// A task has started at a target, which it may crash.
  void CarryDeadly(std::size_t aGuard, const gpRunId& aRun);
  /// Makes the target unreachable for a random time.
  void CutTarget(std::size_t aGuard);
  void ChangeCapacity(std::size_t aGuard);
  /// Shrinks a quarter of the targets for half of the length.
  void ShrinkTargets();
  /// Whether callers submit more jobs now.
  bool IsBurst() const;
  /// Checks that a run which has just started fits into its target.
  void CheckCapacity(std::size_t aGuard);
  /// Leaves the stops of the target without an answer for a random time.
  void HangStops(std::size_t aGuard);
  bool IsCut(std::size_t aGuard) const { return now_ < cutUntil_[aGuard]; }
  /// One end of a link learns that the link is lost.
  void LoseEnd(std::uint64_t aLink, int aEnd, gpErrorCode aReason);

  void Check();
  void CheckStarted(const gpRunId& aRun);
  void Break(const std::string& aWhat);

  gpLeaseHistoryOptions options_;
  gpHistoryRandom random_;
  gpForeignWriter foreignWriter_;
  gpTime now_{ gpMillis(100000) };
  gpTime end_;
  std::multimap<gpTime, std::function<void()>> events_;
  std::vector<Process> entries_;
  std::vector<Process> guards_;
  std::vector<std::unique_ptr<gpSimTarget>> targets_;
  std::vector<std::uint64_t> sequences_;
  std::uint64_t lastTarget_ = 0;
  std::vector<gpChangingCapacity> capacities_;
  /// The record of its target that each guard has in the store.
  std::vector<std::optional<gpTargetRecord>> records_;
  /// Answers the polls that wait at each target, in the order of sending.
  std::vector<std::map<std::uint64_t, std::function<void(gpPollReplied)>>>
    waitingPolls_;
  std::uint64_t lastPoll_ = 0;
  /// Until when each target is unreachable.
  std::vector<gpTime> cutUntil_;
  std::vector<gpTime> stopsHangUntil_;
  std::map<std::uint64_t, Link> links_;
  std::uint64_t lastLink_ = 0;
  std::uint64_t lastIncarnation_ = 1;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t lastJob_ = 0;
  std::map<gpRequestId, Caller> callers_;
  /// The request for which each run was ordered, and the run's needs.
  std::map<gpRunId, gpRequestId> ordered_;
  std::map<gpRunId, gpResources> needs_;
  std::map<std::string, gpRequestId> newest_;
  std::map<gpRunId, gpTime> started_;
  std::set<gpRequestId> notRun_;
  std::map<std::string, std::set<std::string>> doneTasks_;
  std::map<std::string, gpTime> cancelledAt_;
  std::vector<std::string> broken_;
  std::size_t completed_ = 0;
  std::size_t refused_ = 0;
  std::size_t starts_ = 0;
  std::size_t moves_ = 0;
  /// The entry that has given the last order, and the runs that each target is
  /// to stop.
  std::size_t giver_ = 0;
  std::size_t giverKills_ = 0;
  std::vector<std::set<gpRunId>> stopping_;
  std::size_t startsBesideStops_ = 0;
  gpDeadlyTasks deadly_;
  std::size_t wronglyGivenUp_ = 0;
  std::size_t firstQueueJobs_ = 0;
  std::size_t firstQueueCompleted_ = 0;
};

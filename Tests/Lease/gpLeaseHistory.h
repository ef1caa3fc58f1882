#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gpLeaseEntryReducer.h"
#include "gpLeaseGuardReducer.h"
#include "gpSimTarget.h"

/** \class gpLeaseHistoryOptions
 * \brief What may happen in a history, and how often.
 */
struct gpLeaseHistoryOptions
{
  std::uint64_t seed_ = 1;
  std::size_t entries_ = 2;
  std::size_t guards_ = 3;
  /// Entries that a guard links with.
  std::size_t links_ = 8;
  /// Time over which callers submit jobs and faults happen.
  gpMillis length_{ 6000 };
  /// Mean pause between faults; 0 for none.
  gpMillis faultPause_{ 250 };
  /// Orders without an answer, in 1000; half of these are carried out.
  unsigned lostOrders_ = 40;
  /// Whether connections to targets that live are refused at times.
  bool targetCuts_ = false;
};

/** \class gpLeaseHistory
 * \brief One seeded history of real entry and guard reducers, on simulated
 * time, with simulated targets, links and callers.
 *
 * Links break at both ends or fall silent, processes are killed, restarted and
 * frozen, targets crash, clocks drift, orders are lost or carried out late, and
 * callers leave, or submit again at any entry. The promises are checked at
 * every event.
 */
class gpLeaseHistory
{
public:
  explicit gpLeaseHistory(gpLeaseHistoryOptions aOptions);

  /// Runs the history. Returns the promises that were broken.
  std::vector<std::string> Run();
  std::size_t CountCompleted() const { return completed_; }
  std::size_t CountRefused() const { return refused_; }
  std::size_t CountStarts() const { return starts_; }
  /// Links that guards gave up for others.
  std::size_t CountMoves() const { return moves_; }

private:
  struct Process
  {
    std::size_t index_ = 0;
    gpPeer peer_;
    std::unique_ptr<gpLeaseEntryReducer> entry_;
    std::unique_ptr<gpLeaseGuardReducer> guard_;
    /// Increases with each restart, so that old events are dropped.
    std::uint64_t life_ = 0;
    bool alive_ = false;
    gpTime frozenUntil_;
    gpTime wakeAt_;
    /// Entries that a guard keeps dialing.
    std::set<std::size_t> watched_;
  };
  struct Link
  {
    std::size_t guard_ = 0;
    std::size_t entry_ = 0;
    std::uint64_t guardLife_ = 0;
    std::uint64_t entryLife_ = 0;
    /// Whether each end still has the link: [0] the guard, [1] the entry.
    bool open_[2] = { true, true };
    bool silent_ = false;
    /// When the last message arrives, by direction: the order is kept.
    gpTime lastAt_[2];
  };
  struct Caller
  {
    std::string job_;
    std::size_t entry_ = 0;
    std::uint64_t entryLife_ = 0;
    bool answered_ = false;
    bool left_ = false;
    /// It has submitted the job again.
    bool cameBack_ = false;
    gpTime leftAt_;
    int tries_ = 1;
  };

  std::size_t Draw(std::size_t aCount);
  bool Chance(unsigned aPerThousand);
  gpMicros DrawLatency();
  void At(gpTime aWhen, std::function<void()> aEvent);
  /// Calls the event at the process, after its freeze, unless it has died.
  void AtProcess(Process& aProcess,
                 gpTime aWhen,
                 const std::function<void()>& aEvent);

  std::uint64_t WallClockMs() const;
  /// A process begins a new life.
  void Begin(Process& aProcess, std::size_t aIndex, gpRole aRole);
  static gpAddress AddressOf(std::size_t aEntry);
  static std::size_t EntryAt(const gpAddress& aAddress);
  void StartEntry(std::size_t aIndex);
  void StartGuard(std::size_t aIndex);
  void StartTarget(std::size_t aGuard);
  void Dial(std::size_t aGuard, std::size_t aEntry);
  void Heartbeat(std::size_t aGuard);
  template<typename Input>
  void GiveEntry(std::size_t aIndex, Input aInput);
  template<typename Input>
  void GiveGuard(std::size_t aIndex, Input aInput);
  void CarryOut(Process& aProcess, std::vector<gpLeaseEffect> aEffects);
  void CarryWatch(Process& aProcess, std::size_t aEntry);
  void CarryUnwatch(Process& aProcess, std::size_t aEntry);
  void CarrySend(Process& aProcess, gpSend& aSend);
  void CarryStart(std::size_t aGuard, const gpStartRun& aStart);
  void CarryStop(std::size_t aGuard, const gpStopRun& aStop);
  void CarryLook(std::size_t aGuard, const gpLookAtTarget& aLook);
  void OnAnswer(gpRequestId aRequest, const gpLeaseAnswer& aAnswer);

  void SubmitLater();
  void Submit(const std::string& aJob, int aTries);
  /// A caller that lost its connection comes back, once.
  void SubmitAgain(gpRequestId aRequest);
  void Fault();
  void BreakLink(bool aSilent);
  void Kill(Process& aProcess);
  void Freeze(Process& aProcess);
  void CrashTarget(std::size_t aGuard);
  /// Connections to the target are refused for a time.
  void CutTarget(std::size_t aGuard);
  bool IsCut(std::size_t aGuard) const { return now_ < cutUntil_[aGuard]; }
  /// The end of a link is lost; 0 is the guard's.
  void LoseEnd(std::uint64_t aLink, int aEnd, gpErrorCode aReason);

  void Check();
  void CheckStarted(const gpRunId& aRun);
  void Break(const std::string& aWhat);

  gpLeaseHistoryOptions options_;
  std::mt19937_64 generator_;
  gpTime now_{ gpMillis(100000) };
  gpTime end_;
  std::multimap<gpTime, std::function<void()>> events_;
  std::vector<Process> entries_;
  std::vector<Process> guards_;
  std::vector<std::unique_ptr<gpSimTarget>> targets_;
  std::vector<std::uint64_t> sequences_;
  /// Until when connections to each target are refused.
  std::vector<gpTime> cutUntil_;
  std::map<std::uint64_t, Link> links_;
  std::uint64_t lastLink_ = 0;
  std::uint64_t lastIncarnation_ = 1;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t lastJob_ = 0;
  std::map<gpRequestId, Caller> callers_;
  /// The request on whose behalf each run was ordered, and its needs.
  std::map<gpRunId, gpRequestId> ordered_;
  std::map<gpRunId, gpResources> needs_;
  std::map<std::string, gpRequestId> newest_;
  /// When each run was started.
  std::map<gpRunId, gpTime> started_;
  std::set<gpRequestId> notRun_;
  std::map<std::string, std::set<std::string>> doneTasks_;
  std::vector<std::string> broken_;
  std::size_t completed_ = 0;
  std::size_t refused_ = 0;
  std::size_t starts_ = 0;
  std::size_t moves_ = 0;
};

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gpEntryReducer.h"
#include "gpGuardReducer.h"

/** \class gpHistoryOptions
 * \brief What may happen in a history, and how often.
 */
struct gpHistoryOptions
{
  std::uint64_t seed_ = 1;
  std::size_t entries_ = 2;
  std::size_t guards_ = 4;
  std::size_t steps_ = 300;
  std::size_t keys_ = 3;
  /// Chances in 1000 at each step.
  unsigned breakLink_ = 15;
  unsigned killEntry_ = 3;
  unsigned killGuard_ = 3;
  unsigned duplicate_ = 20;
  unsigned reorder_ = 20;
  unsigned shutdown_ = 2;
  unsigned drain_ = 3;
};

/** \class gpHistory
 * \brief One seeded interleaving of events of real reducers.
 *
 * It has no network and no model of time: at each step one event that's
 * possible is drawn and reduced, and its effects become possible events. After
 * each step the promises to callers are checked.
 */
class gpHistory
{
public:
  explicit gpHistory(gpHistoryOptions aOptions);

  /// Runs the history. Returns the promises that were broken.
  std::vector<std::string> Run();
  /// The last events, for the report of a failure.
  std::string DescribeEnd() const;
  std::size_t CountStarts() const;
  std::size_t CountComplete() const { return complete_; }
  std::size_t CountNotRun() const { return notRun_; }

private:
  struct Process
  {
    gpPeer peer_;
    std::unique_ptr<gpEntryReducer> entry_;
    std::unique_ptr<gpGuardReducer> guard_;
    std::set<gpAddress> watched_;
    /// Next record of the roster log to be read.
    std::size_t rosterRead_ = 0;
    gpTime wakeAt_ = gpTime::max();
    bool alive_ = true;
    bool leaving_ = false;
    std::set<gpAttemptId> calls_;
    std::map<gpAttemptId, gpStart> starts_;
  };
  struct Link
  {
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    /// Messages under way: [0] from dialer to acceptor, [1] back.
    std::deque<gpMessage> queues_[2];
    std::vector<gpMessage> delivered_[2];
    /// Whether each end still has the link open: [0] dialer, [1] acceptor.
    bool open_[2] = { true, true };
  };
  struct Submission
  {
    std::string key_;
    std::size_t tasks_ = 0;
    bool answered_ = false;
  };
  struct StartKey
  {
    std::string key_;
    std::uint32_t task_;
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const StartKey&) const = default;
  };

  std::size_t Draw(std::size_t aCount);
  bool Chance(unsigned aPerThousand);
  void AddEntry(std::size_t aSlot);
  void AddGuard(std::size_t aSlot);
  /// Lets all processes find each other, without faults.
  void WarmUp();
  void Step();
  void Reduce(std::size_t aProcess, gpEntryEvent aEvent);
  void Reduce(std::size_t aProcess, gpGuardEvent aEvent);
  template<typename Input>
  void Give(std::size_t aProcess, Input aInput);
  void CarryOut(std::size_t aProcess, const std::vector<gpEffect>& aEffects);
  void Carry(std::size_t aProcess, const gpSend& aEffect);
  void Carry(std::size_t aProcess, const gpAnswerCaller& aEffect);
  void Carry(std::size_t aProcess, const gpWatchAddress& aEffect);
  void Carry(std::size_t aProcess, const gpUnwatchAddress& aEffect);
  void Carry(std::size_t aProcess, const gpWakeAt& aEffect);
  void Carry(std::size_t aProcess, const gpWriteTimeline& aEffect);
  void Carry(std::size_t aProcess, const gpJoinRoster& aEffect);
  void Carry(std::size_t aProcess, const gpRemoveMembers& aEffect);
  void Carry(std::size_t aProcess, const gpCallTarget& aEffect);
  void Carry(std::size_t aProcess, const gpAbortCall& aEffect);
  void Carry(std::size_t aProcess, const gpReleaseTarget& aEffect);
  void Carry(std::size_t aProcess, const gpStop& aEffect);

  void Submit();
  void DeliverMessage();
  void DialWatched();
  void ReadRoster();
  void ReplyCall();
  void PassTime();
  void BreakLink();
  void CloseEnd(std::size_t aLink, std::size_t aEnd);
  void Kill(std::size_t aProcess);
  void KillSome(gpRole aRole);
  void ShutDownSome(gpRole aRole);
  void RemoveDead();

  std::vector<std::size_t> ListAlive(gpRole aRole) const;
  void Break(std::string aWhat);
  void CheckAnswer(const Submission& aSubmission, const gpAnswer& aAnswer);
  void CheckWon(const gpTimelineEvent& aEvent);

  gpHistoryOptions options_;
  std::mt19937_64 generator_;
  gpTime now_{ gpMillis(1000) };
  std::vector<Process> processes_;
  std::map<gpAddress, std::size_t> current_;
  std::map<std::uint64_t, Link> links_;
  std::uint64_t lastLink_ = 0;
  std::uint64_t lastIncarnation_ = 100;
  std::uint64_t lastRequest_ = 0;
  std::vector<gpRoster> rosters_;
  std::map<gpRequestId, Submission> submissions_;
  std::map<StartKey, std::size_t> starts_;
  /// Claims that were won and not withdrawn, by key.
  std::map<std::string, std::set<gpJobId>> won_;
  std::map<std::string, gpAnswer> completed_;
  std::deque<std::string> trace_;
  std::vector<std::string> broken_;
  std::size_t complete_ = 0;
  std::size_t notRun_ = 0;
};

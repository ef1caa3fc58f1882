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
 * \brief The size of a history, and the frequency of faults in it.
 */
struct gpHistoryOptions
{
  std::uint64_t seed_ = 1;
  std::size_t entries_ = 2;
  std::size_t guards_ = 4;
  std::size_t steps_ = 300;
  std::size_t keys_ = 3;
  /// Probabilities in thousandths: of duplicate_ and reorder_ per delivered
  /// message, of the other faults per step.
  unsigned breakLink_ = 15;
  unsigned killEntry_ = 3;
  unsigned killGuard_ = 3;
  unsigned duplicate_ = 20;
  unsigned reorder_ = 20;
  unsigned shutdown_ = 2;
  unsigned drain_ = 3;
};

/** \class gpHistory
 * \brief Runs one random interleaving of events on the reducers of entries and
 * guards, and checks the guarantees to callers.
 *
 * It simulates neither a network nor delays. Each step picks one of the
 * possible events at random and passes it to a reducer; the effects make
 * further events possible. The seed determines the whole history. The
 * guarantees are checked at each start, answer and won claim: a task starts at
 * most once, a key has at most one claimant, and answers agree with each other
 * and with the starts.
 */
class gpHistory
{
public:
  explicit gpHistory(gpHistoryOptions aOptions);

  /// Runs the history until its end or the first violation. Returns
  /// descriptions of the violations.
  std::vector<std::string> Run();
  /// The seed and the last log events, for the report of a failure.
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
    /// Index of the next roster that the process will read.
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
    /// Messages that were sent and not delivered: [0] from the dialer, [1] from
    /// the acceptor.
    std::deque<gpMessage> queues_[2];
    std::vector<gpMessage> delivered_[2];
    /// Whether the link is open at each end: [0] dialer, [1] acceptor.
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
  /// Lets all processes learn the roster and link up, without faults.
  void WarmUp();
  void Step();
  void Reduce(std::size_t aProcess, gpEntryEvent aEvent);
  void Reduce(std::size_t aProcess, gpGuardEvent aEvent);
  /// Passes the input to the reducer of the process, if it handles this kind,
  /// and applies the effects.
  template<typename Input>
  void HandleInput(std::size_t aProcess, Input aInput);
  void ApplyEffects(std::size_t aProcess,
                    const std::vector<gpEffect>& aEffects);
  void Apply(std::size_t aProcess, const gpSend& aEffect);
  void Apply(std::size_t aProcess, const gpAnswerCaller& aEffect);
  void Apply(std::size_t aProcess, const gpWatchAddress& aEffect);
  void Apply(std::size_t aProcess, const gpUnwatchAddress& aEffect);
  void Apply(std::size_t aProcess, const gpWakeAt& aEffect);
  void Apply(std::size_t aProcess, const gpWriteTimeline& aEffect);
  void Apply(std::size_t aProcess, const gpJoinRoster& aEffect);
  void Apply(std::size_t aProcess, const gpRemoveMembers& aEffect);
  void Apply(std::size_t aProcess, const gpCallTarget& aEffect);
  void Apply(std::size_t aProcess, const gpAbortCall& aEffect);
  void Apply(std::size_t aProcess, const gpReleaseTarget& aEffect);
  void Apply(std::size_t aProcess, const gpStop& aEffect);

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
  void ReportViolation(std::string aWhat);
  void CheckAnswer(const Submission& aSubmission, const gpAnswer& aAnswer);
  void CheckWon(const gpTimelineEvent& aEvent);

  gpHistoryOptions options_;
  std::mt19937_64 generator_;
  gpTime now_{ gpMillis(1000) };
  std::vector<Process> processes_;
  /// The process that was last started at each address.
  std::map<gpAddress, std::size_t> byAddress_;
  std::map<std::uint64_t, Link> links_;
  std::uint64_t lastLink_ = 0;
  std::uint64_t lastIncarnation_ = 100;
  std::uint64_t lastRequest_ = 0;
  /// All epochs of the roster, as the log service would store them.
  std::vector<gpRoster> rosters_;
  std::map<gpRequestId, Submission> submissions_;
  /// How often each task of each key was started.
  std::map<StartKey, std::size_t> starts_;
  /// The claims that were won and not withdrawn, by key.
  std::map<std::string, std::set<gpJobId>> won_;
  /// The first complete answer of each key.
  std::map<std::string, gpAnswer> completed_;
  std::deque<std::string> trace_;
  std::vector<std::string> violations_;
  std::size_t complete_ = 0;
  std::size_t notRun_ = 0;
};

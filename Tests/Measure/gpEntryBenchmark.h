#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gpEntryReducer.h"
#include "gpGuardReducer.h"

/** \class gpEntryBenchmark
 * \brief An entry reducer with simulated guards that grant every claim and
 * answer every start at once. Measures the cost of the entry's decisions.
 */
class gpEntryBenchmark
{
public:
  explicit gpEntryBenchmark(std::size_t aGuards);

  /// Submits one job with a key, and processes all messages up to its answer.
  void RunJob(std::size_t aTasks);
  /// Submits one job with a key whose tasks are never answered, so that it
  /// keeps waiting. Later jobs aren't answered either.
  void AddWaitingJob(std::size_t aTasks);
  std::uint64_t CountMessages() const { return messages_; }
  std::uint64_t CountAnswers() const { return answers_; }

private:
  template<typename Input>
  void Process(Input aInput);
  void Deliver(const gpSend& aSend);
  gpJobSubmitted MakeSubmission(std::size_t aTasks);

  std::size_t guards_;
  gpEntryReducer reducer_;
  gpTime now_{ gpMillis(1000) };
  std::deque<gpMessageReceived> replies_;
  gpRosterEpoch epoch_;
  std::uint64_t lastRequest_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t answers_ = 0;
  bool answerStarts_ = true;
};

/// A guard of the roster that gpMeasuredRoster returns.
gpMember
gpMeasuredMember(std::size_t aIndex);
/// A roster with aMembers guards of one service.
gpRoster
gpMeasuredRoster(std::size_t aMembers);
/// A configuration with one service and one team, whose limits are never
/// reached.
gpVersionedConfiguration
gpMeasuredConfiguration();

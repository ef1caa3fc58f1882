#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gpEntryReducer.h"
#include "gpGuardReducer.h"

/** \class gpMeasureWorld
 * \brief One entry reducer with guards that answer every start at once, for
 * measuring the cost of the entry's decisions.
 */
class gpMeasureWorld
{
public:
  explicit gpMeasureWorld(std::size_t aGuards);

  /// Runs one keyed job to its end.
  void RunJob(std::size_t aTasks);
  /// Submits a keyed job whose tasks are never answered.
  void HoldJob(std::size_t aTasks);
  std::uint64_t CountMessages() const { return messages_; }
  std::uint64_t CountAnswers() const { return answers_; }

private:
  template<typename Input>
  void Give(Input aInput);
  void Carry(const gpSend& aSend);
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

/// A guard of the measured roster.
gpMember
gpMeasuredMember(std::size_t aIndex);
/// A roster of so many guards of one service.
gpRoster
gpMeasuredRoster(std::size_t aMembers);
/// A configuration with one service and one team that may do anything.
gpVersionedConfiguration
gpMeasuredConfiguration();

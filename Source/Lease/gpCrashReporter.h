#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gpCrashDetector.h"
#include "gpRecentCrashes.h"
#include "gpTargetSession.h"

/** \class gpCrashReporter
 * \brief Reports crashes of a guard's target, and confirms them when the next
 * incarnation of the target appears. Logs each crash and the suspected runs.
 */
class gpCrashReporter
{
public:
  /// How long an entry that links with the guard is told of a crash.
  static constexpr gpMillis kKeepTime{ 10000 };

  /// The numbers of the crashes begin above aFirstNumber, which must be higher
  /// than any number that earlier incarnations of the guard have used.
  gpCrashReporter(gpServiceName aService,
                  const gpRunTable& aRuns,
                  const gpTargetSession& aTarget,
                  std::uint64_t aFirstNumber)
    : service_(std::move(aService))
    , runs_(aRuns)
    , target_(aTarget)
    , lastCrash_(aFirstNumber)
  {
  }

  /// A call to the target ended.
  void NoteReply(gpOrderReply aReply, gpTime aNow)
  {
    detector_.NoteReply(aReply, aNow);
  }
  /// A run of the queue was ordered.
  void NoteStart(const gpQueueName& aQueue, gpTime aNow)
  {
    detector_.NoteStart(aQueue, aNow);
  }
  /// All runs are given up, as the target was silent until its lease expired.
  void NoteGivenUp() { detector_.NoteGivenUp(runs_); }
  /// When Check is due next; the maximum if no call was refused.
  gpTime GetNext() const { return detector_.GetReportTime(); }
  /// Reports a crash of the target, if its calls show one.
  void Check(gpTime aNow, gpLeaseEffects& aOut);
  /// ID of the known target, if it isn't leaving: its end would be a crash.
  std::optional<std::string> GetCrashableId() const;
  /// Another incarnation than aEarlier was detected. Reports that the earlier
  /// one has crashed, or that this is certain now. aEarlier isn't set if its
  /// end was announced or is known.
  void NoteRestart(const std::optional<std::string>& aEarlier,
                   gpTime aNow,
                   gpLeaseEffects& aOut);
  /// The known incarnation has answered a poll that was sent at aSentAt: if a
  /// crash was reported before, it was none.
  void NoteAlive(gpTime aSentAt, gpLeaseEffects& aOut);
  void DropOld(gpTime aNow) { crashes_.DropOld(aNow); }
  /// The crashes of which entries are told.
  std::vector<gpTargetCrash> List() const { return crashes_.List(); }

private:
  void Report(const std::string& aTarget,
              gpCrashState aState,
              gpTime aNow,
              gpLeaseEffects& aOut);

  gpServiceName service_;
  const gpRunTable& runs_;
  const gpTargetSession& target_;
  gpCrashDetector detector_;
  gpRecentCrashes crashes_{ kKeepTime };
  /// Number of the last crash, see gpTargetCrash.
  std::uint64_t lastCrash_;
  /// When the last crash was reported, while it's neither confirmed nor
  /// refuted.
  std::optional<gpTime> suspectedAt_;
};

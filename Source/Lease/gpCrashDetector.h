#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gpCrashMessages.h"
#include "gpLeaseEvent.h"
#include "gpRunTable.h"
#include "gpStartRate.h"

/** \class gpCrashDetector
 * \brief Detects crashes of a guard's target, and which runs may be the cause.
 *
 * A crash breaks the calls that wait for an answer, and the next call can't be
 * sent. The runs that started last before are suspected: a task that crashes
 * its target does so soon after its start.
 *
 * If the machine of the target fails, its connections don't break. The crash is
 * then known only when the next incarnation of the target appears, after the
 * runs were given up.
 */
class gpCrashDetector
{
public:
  /// A call to the target ended.
  void NoteReply(gpOrderReply aReply, gpTime aNow);
  /// When the crash is to be reported, unless the target had announced its end;
  /// the maximum if no call was refused. The replies of calls that were sent
  /// with the refused one arrive before.
  gpTime GetReportTime() const
  {
    return refusedAt_.has_value() ? *refusedAt_ + kSettleTime : gpTime::max();
  }
  /// A run of the queue was ordered.
  void NoteStart(const gpQueueName& aQueue, gpTime aNow)
  {
    rates_[aQueue].NoteStart(aNow);
  }
  /// The runs were given up, as the target was silent until its lease expired.
  void NoteGivenUp(const gpRunTable& aRuns);
  /// Whether a crash of this incarnation, if it has ended, is still to be
  /// reported.
  bool IsUnreported() const { return answeredAt_.has_value(); }
  /// This incarnation of the target has ended as it had announced.
  void Restart();

  /// When the target crashed, as far as it's known. Valid if IsUnreported.
  gpTime GetCrashTime() const
  {
    return brokenAt_.value_or(refusedAt_.value_or(*answeredAt_));
  }
  /// Takes the runs that were lost with the target. aRuns has those that were
  /// not given up before.
  std::vector<gpLostRun> TakeLostRuns(const gpRunTable& aRuns);
  /// The queues whose tasks have started lately. Empty if the time of the crash
  /// isn't known. Valid if IsUnreported.
  std::vector<gpQueueActivity> ListQueues() const;

private:
  static constexpr gpMillis kSettleTime{ 5 };

  bool IsSuspected(const gpGuardRun& aRun) const;
  std::optional<gpMillis> AgeOf(const gpGuardRun& aRun) const;
  gpLostRun Describe(const gpGuardRun& aRun) const;

  /// The last answer of an incarnation whose crash was not reported.
  std::optional<gpTime> answeredAt_;
  /// When a call broke for the first time since the last answer.
  std::optional<gpTime> brokenAt_;
  /// When a call could not be sent for the first time since the last answer.
  std::optional<gpTime> refusedAt_;
  /// Runs that were given up since the last answer.
  std::vector<gpGuardRun> givenUp_;
  std::map<gpQueueName, gpStartRate> rates_;
};

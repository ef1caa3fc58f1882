#pragma once

#include <optional>
#include <vector>

#include "gpCrashMessages.h"
#include "gpLeaseEvent.h"
#include "gpRunTable.h"

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
  /// A call to the target ended. Returns true if this shows that the target has
  /// crashed, unless it had announced its end.
  bool NoteReply(gpOrderReply aReply, gpTime aNow);
  /// The runs were given up, as the target was silent until its lease expired.
  void NoteGivenUp(const gpRunTable& aRuns);
  /// Whether a crash of this incarnation, if it has ended, is still to be
  /// reported.
  bool IsUnreported() const { return answeredAt_.has_value(); }
  /// This incarnation of the target has ended as it had announced.
  void Restart() { *this = gpCrashDetector(); }

  /// When the target crashed, as far as it's known. Valid if IsUnreported.
  gpTime GetCrashTime() const { return brokenAt_.value_or(*answeredAt_); }
  /// Takes the runs that were lost with the target. aRuns has those that were
  /// not given up before.
  std::vector<gpLostRun> TakeLostRuns(const gpRunTable& aRuns);

private:
  /// A run that started at most this time before a crash is suspected.
  static constexpr gpMillis kSuspectedAge{ 20 };

  bool IsSuspected(const gpGuardRun& aRun) const;

  /// The last answer of an incarnation whose crash was not reported.
  std::optional<gpTime> answeredAt_;
  /// When a call broke for the first time since the last answer.
  std::optional<gpTime> brokenAt_;
  /// Runs that were given up since the last answer.
  std::vector<gpGuardRun> givenUp_;
};

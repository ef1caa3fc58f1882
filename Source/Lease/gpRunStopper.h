#pragma once

#include <string>
#include <vector>

#include "gpLeaseEvent.h"
#include "gpLeaseTimings.h"
#include "gpPendingStops.h"
#include "gpRunTable.h"
#include "gpTargetSession.h"
#include "gpUnknownRuns.h"

/** \class gpRunStopper
 * \brief Stops runs at a guard's target, and repeats each stop until it's
 * answered or the run has ended.
 *
 * Also stops unknown runs: those that the target lists, but which this
 * incarnation of the guard has not started.
 */
class gpRunStopper
{
public:
  gpRunStopper(gpServiceName aService,
               gpRunTable& aRuns,
               const gpTargetSession& aTarget)
    : service_(std::move(aService))
    , runs_(aRuns)
    , target_(aTarget)
  {
  }

  /// Stops a run that may be running, or ensures that it never starts.
  void Stop(gpGuardRun& aRun, gpTime aNow, gpLeaseEffects& aOut)
  {
    StopWithin(aRun, kStopPatience, aNow, aOut);
  }
  void StopAll(gpTime aNow, gpLeaseEffects& aOut);
  /// Stops all runs, as their links were closed.
  void StopUnlinkedRuns(gpTime aNow, gpLeaseEffects& aOut);
  /// Stops all runs of one entry, as its link was lost.
  void StopRunsOf(gpIncarnation aOwner, gpTime aNow, gpLeaseEffects& aOut);
  /// Repeats failed stops; aPause is the pause between two stops of one run.
  void Repeat(gpMillis aPause, gpTime aNow, gpLeaseEffects& aOut);
  /// Stops the unknown runs among those that a poll listed.
  void StopUnknownRuns(const std::vector<gpRunId>& aRunning,
                       gpTime aNow,
                       gpLeaseEffects& aOut);
  /// A stop was answered, failed or timed out.
  void NoteReply(const gpStopReplied& aReply, gpTime aNow);
  /// The run has ended.
  void Forget(const gpRunId& aRun) { stops_.Forget(aRun); }
  /// No run is running at the target any more.
  void Clear();
  /// Whether a stop has had no answer for so long that the target's lease must
  /// end the run.
  bool HasOverdue(gpTime aNow) const { return stops_.HasOverdue(aNow); }
  /// Whether the last poll listed unknown runs.
  bool HasUnknownRuns() const { return !unknownRuns_.IsEmpty(); }
  /// When Repeat is due next; the maximum if no stop has failed.
  gpTime GetNext(gpMillis aPause) const { return stops_.GetNext(aPause); }

private:
  /// The stop is overdue if it has no answer after aPatience.
  void StopWithin(gpGuardRun& aRun,
                  gpMillis aPatience,
                  gpTime aNow,
                  gpLeaseEffects& aOut);
  void Send(const gpRunId& aRun,
            gpMillis aPatience,
            gpTime aNow,
            gpLeaseEffects& aOut);
  void Write(const gpRunId& aRun, std::string aDetail, gpLeaseEffects& aOut);

  gpServiceName service_;
  gpRunTable& runs_;
  const gpTargetSession& target_;
  gpUnknownRuns unknownRuns_;
  gpPendingStops stops_;
};

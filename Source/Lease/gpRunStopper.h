#pragma once

#include <string>
#include <vector>

#include "gpLeaseEvent.h"
#include "gpPendingStops.h"
#include "gpRunTable.h"
#include "gpStrangerRuns.h"
#include "gpTargetSession.h"

/** \class gpRunStopper
 * \brief Stops runs at a guard's target, and repeats each stop until it's
 * answered or the run is over.
 *
 * Runs that the target shows but the guard hasn't started are stopped too.
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

  /// Stops a run that may be at work, or makes sure that it never begins.
  void Stop(gpGuardRun& aRun, gpTime aNow, gpLeaseEffects& aOut);
  void StopAll(gpTime aNow, gpLeaseEffects& aOut);
  /// Stops all runs of one entry.
  void StopOf(gpIncarnation aOwner, gpTime aNow, gpLeaseEffects& aOut);
  /// Sends the stops again that are due, with aPause between those of one run.
  void Repeat(gpMillis aPause, gpTime aNow, gpLeaseEffects& aOut);
  /// Takes the runs that a look showed, and stops those of others.
  void StopStrangers(const std::vector<gpRunId>& aRunning,
                     gpTime aNow,
                     gpLeaseEffects& aOut);
  /// The target answered a stop, or the stop was given up.
  void NoteReply(const gpStopReplied& aReply, gpTime aNow);
  /// The run is over.
  void Forget(const gpRunId& aRun) { stops_.Forget(aRun); }
  /// Nothing runs at the target any more.
  void Clear();
  /// Whether the target shows runs that this guard hasn't started.
  bool HasStrangers() const { return !strangers_.IsEmpty(); }
  /// When Repeat is to be called next; the maximum if nothing is pending.
  gpTime GetNext(gpMillis aPause) const { return stops_.GetNext(aPause); }

private:
  void Send(const gpRunId& aRun, gpTime aNow, gpLeaseEffects& aOut);
  void Write(const gpRunId& aRun, std::string aDetail, gpLeaseEffects& aOut);

  gpServiceName service_;
  gpRunTable& runs_;
  const gpTargetSession& target_;
  gpStrangerRuns strangers_;
  gpPendingStops stops_;
};

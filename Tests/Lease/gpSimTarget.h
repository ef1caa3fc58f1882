#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gpLeaseEvent.h"

/** \class gpSimRun
 * \brief A run at a simulated target.
 */
struct gpSimRun
{
  gpRunId run_;
  gpTime endsAt_;
  bool fails_ = false;
  /// Whether the run never ends by itself.
  bool hangs_ = false;
  gpResources needs_;
};

/** \class gpSimEnd
 * \brief How and when a run at a simulated target ended.
 */
struct gpSimEnd
{
  gpRunId run_;
  gpRunEnd end_ = gpRunEnd::Done;
  gpTime at_;
};

/** \class gpSimTarget
 * \brief A simulated target with the behaviour that the platform's
 * documentation describes: runs under one lease, fences, ascending run numbers
 * and a list of ended runs.
 *
 * It accepts runs beyond its capacity, so that tests detect a guard that
 * doesn't check it.
 */
class gpSimTarget
{
public:
  /// aRate is the rate of its clock relative to true time, 0.98 to 1.
  gpSimTarget(std::string aId,
              std::uint64_t aStartTime,
              double aRate,
              gpTime aNow);

  /// Ends the runs whose time has come, and all runs if the lease has expired.
  void Advance(gpTime aNow);
  gpOrderReply Start(const gpStartRun& aOrder,
                     const gpSimRun& aRun,
                     gpTime aNow);
  gpOrderReply Stop(const gpStopRun& aOrder, gpTime aNow);
  gpPollReplied Poll(const gpPollTarget& aPoll, gpTime aNow);

  std::uint64_t GetClock(gpTime aNow) const;
  const std::map<gpRunId, gpSimRun>& GetRunning() const { return running_; }
  const std::string& GetId() const { return id_; }
  std::uint64_t GetStartTime() const { return startTime_; }
  /// Returns the runs that ended since the last call.
  std::vector<gpSimEnd> TakeEnds() { return std::exchange(newEnds_, {}); }

private:
  /// Raises the fence to the order's. Returns false if the order's fence is
  /// lower than one seen earlier.
  bool Accept(std::uint64_t aFence);
  void Extend(std::uint64_t aLeaseEnd, gpTime aNow);
  void End(const gpRunId& aRun, gpRunEnd aEnd, gpTime aAt);
  /// When the lease expires, in simulated time rather than on the target's
  /// clock.
  gpTime GetLeaseExpiry() const;

  std::string id_;
  std::uint64_t startTime_;
  double rate_;
  gpTime startedAt_;
  std::uint64_t fence_ = 0;
  std::uint64_t leaseEnd_ = 0;
  std::map<gpRunId, gpSimRun> running_;
  /// The highest run number that was stopped or has ended, by task.
  std::map<std::string, std::uint64_t> highest_;
  std::vector<gpEndedRun> ends_;
  std::uint64_t lastEnd_ = 0;
  std::vector<gpSimEnd> newEnds_;
};

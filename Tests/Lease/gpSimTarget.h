#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gpLeaseEvent.h"

/** \class gpSimRun
 * \brief A run that is at work at a simulated target.
 */
struct gpSimRun
{
  gpRunId run_;
  gpTime endsAt_;
  bool fails_ = false;
  /// It never ends by itself.
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
 * \brief A target as the platform's pages describe it: runs under one lease,
 * fences, run numbers that rise, and a list of ends.
 *
 * It doesn't guard its capacity, so that the guard's own check is tested.
 */
class gpSimTarget
{
public:
  /// aRate is that of its clock, 0.98 to 1.
  gpSimTarget(std::string aId, std::uint64_t aBorn, double aRate, gpTime aNow);

  /// Carries out what has come due: ends of runs, and the lapse of the lease.
  void Advance(gpTime aNow);
  gpOrderReply Start(const gpStartRun& aOrder,
                     const gpSimRun& aRun,
                     gpTime aNow);
  gpOrderReply Stop(const gpStopRun& aOrder, gpTime aNow);
  gpTargetSeen Look(const gpLookAtTarget& aLook, gpTime aNow);

  std::uint64_t GetClock(gpTime aNow) const;
  const std::map<gpRunId, gpSimRun>& GetRunning() const { return running_; }
  const std::string& GetId() const { return id_; }
  std::uint64_t GetBorn() const { return born_; }
  /// Runs that ended since the last call.
  std::vector<gpSimEnd> TakeEnds() { return std::exchange(newEnds_, {}); }

private:
  /// Raises the fence. False if the order's is lower than one seen.
  bool Accept(std::uint64_t aFence);
  void Extend(std::uint64_t aLeaseEnd, gpTime aNow);
  void End(const gpRunId& aRun, gpRunEnd aEnd, gpTime aAt);
  /// When the lease ends on the time line of the others.
  gpTime GetLapse() const;

  std::string id_;
  std::uint64_t born_;
  double rate_;
  gpTime startedAt_;
  std::uint64_t fence_ = 0;
  std::uint64_t leaseEnd_ = 0;
  std::map<gpRunId, gpSimRun> running_;
  /// The highest number of a run that was stopped or has ended, by task.
  std::map<std::string, std::uint64_t> highest_;
  std::vector<gpEndedRun> ends_;
  std::uint64_t lastEnd_ = 0;
  std::vector<gpSimEnd> newEnds_;
};

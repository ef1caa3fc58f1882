#pragma once

#include <functional>

#include "gpLeaseEvent.h"

/** \class gpTargetPort
 * \brief Client of the target beside a guard. Implemented by the adapter to the
 * customer's platform.
 *
 * Each method calls its handler exactly once, also if there is no answer.
 */
class gpTargetPort
{
public:
  virtual ~gpTargetPort() = default;

  virtual void Start(const gpStartRun& aOrder,
                     std::function<void(gpStartReplied)> aHandler) = 0;
  virtual void Stop(const gpStopRun& aOrder,
                    std::function<void(gpStopReplied)> aHandler) = 0;
  /// Renews the guard's lease at the target, and reads which runs are running
  /// and which have ended.
  virtual void Poll(const gpPollTarget& aPoll,
                    std::function<void(gpPollReplied)> aHandler) = 0;
  /// Asks whether the target is the named incarnation.
  virtual void Identify(const gpIdentifyTarget& aCall,
                        std::function<void(gpTargetIdentified)> aHandler) = 0;
};

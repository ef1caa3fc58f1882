#pragma once

#include <functional>

#include "gpLeaseEvent.h"

/** \class gpTargetPort
 * \brief Orders to the target beside a guard.
 *
 * Each method calls its handler once, also when there is no answer.
 */
class gpTargetPort
{
public:
  virtual ~gpTargetPort() = default;

  virtual void Start(const gpStartRun& aOrder,
                     std::function<void(gpStartReplied)> aHandler) = 0;
  virtual void Stop(const gpStopRun& aOrder,
                    std::function<void(gpStopReplied)> aHandler) = 0;
  virtual void Look(const gpLookAtTarget& aLook,
                    std::function<void(gpTargetSeen)> aHandler) = 0;
};

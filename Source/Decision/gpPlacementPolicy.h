#pragma once

#include <memory>
#include <random>
#include <vector>

#include "gpConfiguration.h"
#include "gpGuardDirectory.h"
#include "gpTime.h"

/** \class gpPlacementPolicy
 * \brief Chooses the guard that gets the next task of a service.
 */
class gpPlacementPolicy
{
public:
  virtual ~gpPlacementPolicy() = default;
  /// Returns one of the candidates, all of which have free slots. aCandidates
  /// is not empty; aMeanRun is the mean run time of the service.
  virtual gpGuardView* Choose(const std::vector<gpGuardView*>& aCandidates,
                              gpMicros aMeanRun) = 0;
};

/// Creates the policy of this kind. Its random numbers derive from aSeed.
std::unique_ptr<gpPlacementPolicy>
gpMakePlacementPolicy(gpPlacement aKind, std::uint64_t aSeed);

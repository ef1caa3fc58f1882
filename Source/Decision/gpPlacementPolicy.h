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
  /// One of the candidates, all of which have room; never empty.
  virtual gpGuardView* Choose(const std::vector<gpGuardView*>& aCandidates,
                              gpMicros aMeanRun) = 0;
};

/// The policy of that name. Its random numbers come from the seed.
std::unique_ptr<gpPlacementPolicy>
gpMakePlacementPolicy(gpPlacement aKind, std::uint64_t aSeed);

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

/** \class gpHistoryRandom
 * \brief The random decisions of a history, all from one seed.
 */
class gpHistoryRandom
{
public:
  explicit gpHistoryRandom(std::uint64_t aSeed)
    : generator_(aSeed)
  {
  }

  /// Draws a number from 0 to aCount - 1.
  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      aCount - 1)(generator_);
  }
  bool Chance(unsigned aPerThousand) { return Draw(1000) < aPerThousand; }

private:
  std::mt19937_64 generator_;
};

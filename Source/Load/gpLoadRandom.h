#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

/** \class gpLoadRandom
 * \brief A stream of random numbers that is reproducible on every machine.
 *
 * The C++ standard specifies the engine, but not the algorithms of its
 * distributions, which differ between standard libraries; so those of
 * Boost.Random are used. exp() and log() may differ in the last bit between C
 * libraries; callers round the results of LogUniform.
 */
class gpLoadRandom
{
public:
  /// Streams with the same seed and different names are independent.
  gpLoadRandom(std::uint64_t aSeed, std::string_view aStream);

  /// From 0 (included) to 1 (excluded).
  double Uniform();
  /// From aMin to aMax, both included.
  std::uint64_t Between(std::uint64_t aMin, std::uint64_t aMax);
  /// From aMin to aMax, both above 0; the logarithm is uniformly distributed.
  double LogUniform(double aMin, double aMax);
  bool Chance(double aProbability);
  /// A random index with probabilities in proportion to the weights, whose sum
  /// must be above 0.
  std::size_t Pick(const std::vector<double>& aWeights);

private:
  std::mt19937_64 engine_;
};

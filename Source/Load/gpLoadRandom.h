#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

/** \class gpLoadRandom
 * \brief One stream of random draws, equal on every machine for a seed.
 *
 * The engine is fixed by the C++ standard. The distributions are those of
 * Boost.Random, because what std::uniform_int_distribution and its kin draw
 * differs between standard libraries. Exp and log may differ in the last bit
 * between C libraries; callers round what LogUniform gives.
 */
class gpLoadRandom
{
public:
  /// Streams of one seed with different names are independent.
  gpLoadRandom(std::uint64_t aSeed, std::string_view aStream);

  /// 0 to 1, without 1.
  double Uniform();
  /// aMin to aMax, both included.
  std::uint64_t Between(std::uint64_t aMin, std::uint64_t aMax);
  /// aMin to aMax, both above 0; each factor is as likely as any other.
  double LogUniform(double aMin, double aMax);
  bool Chance(double aProbability);
  /// An index into the weights, in proportion to them. Their sum is above 0.
  std::size_t Pick(const std::vector<double>& aWeights);

private:
  std::mt19937_64 engine_;
};

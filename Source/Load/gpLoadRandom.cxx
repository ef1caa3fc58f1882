#include "gpLoadRandom.h"

#include <cmath>
#include <numeric>

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include "gpDigest.h"

gpLoadRandom::gpLoadRandom(std::uint64_t aSeed, std::string_view aStream)
  : engine_(gpStableHash(aStream, aSeed))
{
}

double
gpLoadRandom::Uniform()
{
  return boost::random::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

std::uint64_t
gpLoadRandom::Between(std::uint64_t aMin, std::uint64_t aMax)
{
  return boost::random::uniform_int_distribution<std::uint64_t>(aMin,
                                                                aMax)(engine_);
}

double
gpLoadRandom::LogUniform(double aMin, double aMax)
{
  return aMin * std::exp(Uniform() * std::log(aMax / aMin));
}

bool
gpLoadRandom::Chance(double aProbability)
{
  return Uniform() < aProbability;
}

std::size_t
gpLoadRandom::Pick(const std::vector<double>& aWeights)
{
  const double sum = std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  double left = Uniform() * sum;
  std::size_t last = 0;
  for (std::size_t index = 0; index < aWeights.size(); ++index) {
    if (aWeights[index] <= 0.0) {
      continue;
    }
    last = index;
    left -= aWeights[index];
    if (left < 0.0) {
      break;
    }
  }
  return last;
}

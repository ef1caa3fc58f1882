#include "gpEntryRanking.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "gpDigest.h"

namespace {

/// Processor assumed for an entry that hasn't announced its own, in thousandths
/// of a core.
constexpr double kDefaultMilliCores = 250;
/// The weight grows with the square root of the processor. Callers choose
/// entries without regard to their size, which speaks for equal weights; the
/// maintenance of links costs processor, which speaks for weights proportional
/// to it.
constexpr double kWeightExponent = 0.5;

struct Ranked
{
  double score_ = 0;
  const gpKnownEntry* entry_ = nullptr;
};

double
WeightOf(const gpKnownEntry& aEntry)
{
  const double milliCores =
    aEntry.milliCores_ == 0 ? kDefaultMilliCores : aEntry.milliCores_;
  return std::pow(milliCores, kWeightExponent);
}

/// The entry's pseudo-random score for the process aSelf. The probability that
/// an entry has the highest score is proportional to its weight.
double
ScoreOf(const std::string& aSelf, const gpKnownEntry& aEntry)
{
  const std::uint64_t seed = gpStableHash(aSelf, 0);
  const std::uint64_t hash = gpStableHash(aEntry.address_.value_, seed);
  const double part =
    (static_cast<double>(hash) + 1) /
    (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
  return -WeightOf(aEntry) / std::log(std::min(part, 1 - 1e-15));
}

} // namespace

std::vector<gpAddress>
gpRankEntries(const std::string& aSelf,
              const std::map<gpAddress, gpKnownEntry>& aEntries,
              std::size_t aCount)
{
  std::vector<Ranked> ranked;
  ranked.reserve(aEntries.size());
  for (const auto& [address, entry] : aEntries) {
    ranked.push_back({ ScoreOf(aSelf, entry), &entry });
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Ranked& aLeft, const Ranked& aRight) {
              return aLeft.score_ > aRight.score_;
            });
  const std::size_t mostOfOne = (aCount + 1) / 2;
  std::map<gpDataCentreName, std::size_t> taken;
  std::vector<gpAddress> order;
  std::vector<gpAddress> later;
  for (const Ranked& each : ranked) {
    const gpDataCentreName& dataCentre = each.entry_->dataCentre_;
    const bool isFull = order.size() < aCount && !dataCentre.value_.empty() &&
                        taken[dataCentre] >= mostOfOne;
    if (isFull) {
      later.push_back(each.entry_->address_);
    } else {
      ++taken[dataCentre];
      order.push_back(each.entry_->address_);
    }
  }
  order.insert(order.end(), later.begin(), later.end());
  return order;
}

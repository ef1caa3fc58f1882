#include "gpPlacementPolicy.h"

#include <algorithm>

#include <boost/random/uniform_int_distribution.hpp>

namespace {

using Candidates = std::vector<gpGuardView*>;

std::size_t
Draw(std::mt19937_64& aGenerator, std::size_t aCount)
{
  // Unlike std::uniform_int_distribution, Boost's distribution gives the same
  // numbers with every standard library.
  boost::random::uniform_int_distribution<std::size_t> pick(0, aCount - 1);
  return pick(aGenerator);
}

class RandomPolicy : public gpPlacementPolicy
{
public:
  explicit RandomPolicy(std::uint64_t aSeed)
    : generator_(aSeed)
  {
  }
  gpGuardView* Choose(const Candidates& aCandidates, gpMicros) override
  {
    return aCandidates[Draw(generator_, aCandidates.size())];
  }

private:
  std::mt19937_64 generator_;
};

class RoundRobinPolicy : public gpPlacementPolicy
{
public:
  gpGuardView* Choose(const Candidates& aCandidates, gpMicros) override
  {
    return aCandidates[next_++ % aCandidates.size()];
  }

private:
  std::size_t next_ = 0;
};

class LeastLoadedPolicy : public gpPlacementPolicy
{
public:
  gpGuardView* Choose(const Candidates& aCandidates, gpMicros) override
  {
    return *std::ranges::min_element(
      aCandidates, {}, [](const gpGuardView* aGuard) {
        return aGuard->inFlight_.size();
      });
  }
};

class TwoChoicesPolicy : public gpPlacementPolicy
{
public:
  explicit TwoChoicesPolicy(std::uint64_t aSeed)
    : generator_(aSeed)
  {
  }
  gpGuardView* Choose(const Candidates& aCandidates, gpMicros) override
  {
    gpGuardView* first = aCandidates[Draw(generator_, aCandidates.size())];
    gpGuardView* second = aCandidates[Draw(generator_, aCandidates.size())];
    return second->inFlight_.size() < first->inFlight_.size() ? second : first;
  }

private:
  std::mt19937_64 generator_;
};

class ExpectedFinishPolicy : public gpPlacementPolicy
{
public:
  gpGuardView* Choose(const Candidates& aCandidates, gpMicros aMeanRun) override
  {
    return *std::ranges::min_element(
      aCandidates, {}, [aMeanRun](const gpGuardView* aGuard) {
        const bool isNew = aGuard->meanRun_.count() == 0;
        const gpMicros run = isNew ? aMeanRun : aGuard->meanRun_;
        return std::pair(run + aGuard->overhead_, aGuard->inFlight_.size());
      });
  }
};

} // namespace

std::unique_ptr<gpPlacementPolicy>
gpMakePlacementPolicy(gpPlacement aKind, std::uint64_t aSeed)
{
  switch (aKind) {
    case gpPlacement::Random:
      return std::make_unique<RandomPolicy>(aSeed);
    case gpPlacement::RoundRobin:
      return std::make_unique<RoundRobinPolicy>();
    case gpPlacement::LeastLoaded:
      return std::make_unique<LeastLoadedPolicy>();
    case gpPlacement::TwoChoices:
      return std::make_unique<TwoChoicesPolicy>(aSeed);
    case gpPlacement::ExpectedFinish:
      break;
  }
  return std::make_unique<ExpectedFinishPolicy>();
}

#include "gpSoakPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace {

constexpr std::array<const char*, std::size_t(gpSoakFaultKind::Count)>
  kNames = {
    "kill entry",         "kill guard",    "kill worker",   "term entry",
    "freeze entry",       "freeze guard",  "delay links",   "reset links",
    "silence links",      "one-way links", "delay worker",  "reset worker",
    "silence worker",     "lose starts",   "drain worker",  "refusing store",
    "silent store",       "reset store",   "trimmed store", "configuration",
    "foreign heartbeats", "lose stops",    "repeat jobs",   "kill all",
  };

constexpr gpMillis kLength{ 6000 };
constexpr gpMillis kShortestFault{ 30 };
constexpr gpMillis kLongestFault{ 2500 };
/// About 20 jobs a second at scale 1.
constexpr gpMillis kJobPause{ 50 };

/// Draws random integers that are the same on all machines for the same seed,
/// unlike those of the standard distributions.
class RandomGenerator
{
public:
  explicit RandomGenerator(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }
  std::uint64_t Draw(std::uint64_t aBelow) { return engine_() % aBelow; }
  gpMillis DrawTime(gpMillis aLeast, gpMillis aMost)
  {
    const auto span = static_cast<std::uint64_t>((aMost - aLeast).count());
    return aLeast + gpMillis(static_cast<std::int64_t>(Draw(span + 1)));
  }

private:
  std::mt19937_64 engine_;
};

} // namespace

std::string
gpSoakFaultName(gpSoakFaultKind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

gpSoakPlan
gpMakeSoakPlan(std::uint64_t aSeed, std::size_t aScale, std::size_t aKinds)
{
  RandomGenerator generator(aSeed);
  gpSoakPlan plan;
  plan.seed_ = aSeed;
  plan.entries_ = aScale * (1 + generator.Draw(3));
  plan.guards_ = aScale * (2 + generator.Draw(4));
  plan.length_ = kLength;
  plan.jobPause_ = kJobPause / static_cast<std::int64_t>(aScale);
  const std::size_t faults = aScale * (4 + generator.Draw(14));
  // Some seeds use only a few kinds of faults, each of them many times.
  std::vector<gpSoakFaultKind> chosen;
  for (std::uint64_t left = 2 + generator.Draw(aKinds); left > 0; --left) {
    chosen.push_back(static_cast<gpSoakFaultKind>(generator.Draw(aKinds)));
  }
  for (std::size_t index = 0; index < faults; ++index) {
    gpSoakFault fault;
    fault.kind_ = chosen[generator.Draw(chosen.size())];
    fault.at_ = generator.DrawTime(gpMillis(300), kLength);
    fault.length_ = generator.DrawTime(kShortestFault, kLongestFault);
    fault.processIndex_ = generator.Draw(plan.entries_ * plan.guards_);
    plan.faults_.push_back(fault);
  }
  std::sort(plan.faults_.begin(),
            plan.faults_.end(),
            [](const gpSoakFault& aOne, const gpSoakFault& aOther) {
              return aOne.at_ < aOther.at_;
            });
  return plan;
}

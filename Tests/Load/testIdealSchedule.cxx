#define BOOST_TEST_MODULE gpIdealSchedule
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "gpIdealSchedule.h"
#include "gpLoadRandom.h"
#include "gpReferenceSchedule.h"

namespace {

struct Instance
{
  gpDeployment deployment_;
  std::vector<gpPlannedJob> jobs_;

  gpPlannedJobs Jobs() const
  {
    gpPlannedJobs jobs;
    for (const gpPlannedJob& job : jobs_) {
      jobs.push_back(&job);
    }
    return jobs;
  }
};

Instance
RandomInstance(std::uint64_t aSeed)
{
  gpLoadRandom random(aSeed, "instance");
  Instance instance;
  instance.deployment_.callerDelay_ = gpMicros{ 100 };
  instance.deployment_.dataCentreDelay_ = gpMicros{ 500 };
  instance.deployment_.entries_.push_back({ "e", gpDataCentreName{ "dc0" } });
  const std::uint64_t targets = random.Between(1, 6);
  for (std::uint64_t index = 0; index < targets; ++index) {
    gpTargetSite target;
    target.dataCentre_.value_ = "dc" + std::to_string(random.Between(0, 2));
    target.slots_ = static_cast<std::uint32_t>(random.Between(1, 4));
    target.speed_ = random.LogUniform(0.5, 2.0);
    instance.deployment_.targets_.push_back(target);
  }
  const std::uint64_t jobs = random.Between(1, 120);
  const std::uint64_t gap = random.Between(1, 40000);
  gpMicros arrival{ 0 };
  for (std::uint64_t index = 0; index < jobs; ++index) {
    gpPlannedJob job;
    arrival += gpMicros{ random.Between(0, gap) };
    job.arrival_ = arrival;
    job.tasks_.resize(random.Chance(0.7) ? 1 : random.Between(1, 20));
    for (gpPlannedTask& task : job.tasks_) {
      task.runTime_ = gpMillis{ random.Between(1, 100) };
    }
    instance.jobs_.push_back(job);
  }
  return instance;
}

/// How a list schedule chooses the slot of the next task.
enum class Rule
{
  Any,
  FirstFree,
  EarliestEnd,
};

/// Response times of a list schedule that places the tasks in the order of
/// arrival.
std::vector<gpMicros>
ListSchedule(const Instance& aInstance, gpLoadRandom& aRandom, Rule aRule)
{
  struct Slot
  {
    const gpTargetSite* target_ = nullptr;
    double freeAt_ = 0.0;
  };
  const gpDeployment& deployment = aInstance.deployment_;
  std::vector<Slot> slots;
  for (const gpTargetSite& target : deployment.targets_) {
    slots.insert(slots.end(), target.slots_, { &target, 0.0 });
  }
  std::vector<gpMicros> responses;
  for (const gpPlannedJob& job : aInstance.jobs_) {
    const auto arrival = static_cast<double>(job.arrival_.count());
    double response = 0.0;
    for (const gpPlannedTask& task : job.tasks_) {
      const auto work = static_cast<double>(task.runTime_.count()) * 1000.0;
      const auto endOn = [&](const Slot& aSlot) {
        return std::max(arrival, aSlot.freeAt_) + work / aSlot.target_->speed_;
      };
      Slot* best = &slots[aRandom.Between(0, slots.size() - 1)];
      for (Slot& slot : slots) {
        const bool isBetter = aRule == Rule::FirstFree
                                ? slot.freeAt_ < best->freeAt_
                                : endOn(slot) < endOn(*best);
        best = aRule != Rule::Any && isBetter ? &slot : best;
      }
      best->freeAt_ = endOn(*best);
      const gpMicros delay =
        deployment.callerDelay_ + deployment.EntryDelay(*best->target_);
      const auto roundTrip = static_cast<double>(2 * delay.count());
      response = std::max(response, best->freeAt_ - arrival + roundTrip);
    }
    responses.emplace_back(static_cast<std::int64_t>(response) + 1);
  }
  return responses;
}

void
CheckBounds(const Instance& aInstance, const std::vector<gpMicros>& aResponses)
{
  const gpIdealSchedule ideal(aInstance.deployment_);
  const gpPercentiles bounds = ideal.Bounds(aInstance.Jobs());
  const gpPercentiles reached = gpPercentilesOf(aResponses);
  BOOST_TEST(bounds.count_ == reached.count_);
  BOOST_TEST((bounds.mean_ <= reached.mean_));
  BOOST_TEST((bounds.p50_ <= reached.p50_));
  BOOST_TEST((bounds.p90_ <= reached.p90_));
  BOOST_TEST((bounds.p99_ <= reached.p99_));
  BOOST_TEST((bounds.max_ <= reached.max_));
  for (std::size_t index = 0; index < aResponses.size(); ++index) {
    BOOST_TEST(
      (ideal.IsolatedBound(aInstance.jobs_[index]) <= aResponses[index]));
  }
}

/// The least maximum response time of aCount jobs that run one after the other,
/// by arrival, on one slot. Tries all choices of aCount jobs.
double
LeastOfAllChoices(const Instance& aInstance, std::size_t aCount)
{
  const std::vector<gpPlannedJob>& jobs = aInstance.jobs_;
  double least = std::numeric_limits<double>::infinity();
  for (std::uint32_t choice = 0; choice < (1U << jobs.size()); ++choice) {
    if (static_cast<std::size_t>(std::popcount(choice)) != aCount) {
      continue;
    }
    double now = 0.0;
    double longest = 0.0;
    for (std::size_t index = 0; index < jobs.size(); ++index) {
      if ((choice >> index & 1U) == 1U) {
        const auto arrival = static_cast<double>(jobs[index].arrival_.count());
        now = std::max(now, arrival) +
              static_cast<double>(gpMicros{ jobs[index].Work() }.count());
        longest = std::max(longest, now - arrival);
      }
    }
    least = std::min(least, longest);
  }
  return least;
}

} // namespace

BOOST_AUTO_TEST_CASE(NoListScheduleBeatsTheBounds)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Instance instance = RandomInstance(seed);
    gpLoadRandom random(seed, "schedule");
    for (const Rule rule : { Rule::Any, Rule::FirstFree, Rule::EarliestEnd }) {
      CheckBounds(instance, ListSchedule(instance, random, rule));
    }
  }
}

BOOST_AUTO_TEST_CASE(NoReferenceBeatsTheBounds)
{
  using Order = gpReferenceOrder;
  using Placement = gpReferencePlacement;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Instance instance = RandomInstance(seed);
    for (const Order order :
         { Order::Arrival, Order::FewestTasks, Order::LeastWork }) {
      for (const Placement placement :
           { Placement::FastestFree, Placement::EarliestFinish }) {
        CheckBounds(instance,
                    gpReferenceResponses(
                      instance.deployment_, instance.Jobs(), order, placement));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(PercentileBoundIsExactOnOneSlot)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Instance instance = RandomInstance(seed);
    instance.deployment_ = {};
    instance.deployment_.targets_.resize(1);
    instance.deployment_.targets_.front().slots_ = 1;
    instance.jobs_.resize(std::min<std::size_t>(instance.jobs_.size(), 10));
    for (gpPlannedJob& job : instance.jobs_) {
      job.tasks_.resize(1);
    }
    const gpIdealSchedule ideal(instance.deployment_);
    for (const gpPermille permille : { kGpMedian, 700U, kGpP90, kGpMax }) {
      const std::size_t count = gpRankOf(permille, instance.jobs_.size());
      const auto bound = static_cast<double>(
        ideal.PercentileBound(instance.Jobs(), permille).count());
      const double least = LeastOfAllChoices(instance, count);
      BOOST_TEST(bound <= least);
      BOOST_TEST(bound >= least - 2.0);
    }
  }
}

BOOST_AUTO_TEST_CASE(IsolatedBoundUsesTheFastestSlots)
{
  gpDeployment deployment;
  deployment.callerDelay_ = gpMicros{ 250 };
  deployment.targets_.resize(2);
  deployment.targets_[0].slots_ = 1;
  deployment.targets_[0].speed_ = 2.0;
  deployment.targets_[1].slots_ = 1;
  gpPlannedJob job;
  job.tasks_.resize(1);
  job.tasks_[0].runTime_ = gpMillis{ 100 };
  const gpIdealSchedule ideal(deployment);
  // The only task runs on the fast slot.
  BOOST_TEST(ideal.IsolatedBound(job).count() == 50500);
  job.tasks_.resize(2);
  job.tasks_[1].runTime_ = gpMillis{ 80 };
  // Total work over the total speed of both slots.
  BOOST_TEST(ideal.IsolatedBound(job).count() == 60500);
}

BOOST_AUTO_TEST_CASE(ClairvoyantPlacementWaitsForAFastSlot)
{
  Instance instance;
  instance.deployment_.targets_.resize(2);
  instance.deployment_.targets_[0].slots_ = 1;
  instance.deployment_.targets_[0].speed_ = 4.0;
  instance.deployment_.targets_[1].slots_ = 1;
  instance.jobs_.resize(2);
  for (gpPlannedJob& job : instance.jobs_) {
    job.tasks_.resize(1);
    job.tasks_[0].runTime_ = gpMillis{ 400 };
  }
  const auto second = [&instance](gpReferencePlacement aPlacement) {
    return gpReferenceResponses(instance.deployment_,
                                instance.Jobs(),
                                gpReferenceOrder::Arrival,
                                aPlacement)
      .at(1)
      .count();
  };
  BOOST_TEST(second(gpReferencePlacement::EarliestFinish) == 200001);
  BOOST_TEST(second(gpReferencePlacement::FastestFree) == 400001);
}

BOOST_AUTO_TEST_CASE(PercentilesAreByNearestRank)
{
  std::vector<gpMicros> times;
  for (int time = 200; time > 0; --time) {
    times.emplace_back(time);
  }
  const gpPercentiles percentiles = gpPercentilesOf(times);
  BOOST_TEST(percentiles.p50_.count() == 100);
  BOOST_TEST(percentiles.p90_.count() == 180);
  BOOST_TEST(percentiles.p99_.count() == 198);
  BOOST_TEST(percentiles.max_.count() == 200);
  BOOST_TEST(percentiles.mean_.count() == 100);
  BOOST_TEST(gpPercentilesOf({}).count_ == 0U);
}

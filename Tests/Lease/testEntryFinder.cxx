#define BOOST_TEST_MODULE gpEntryFinder
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "gpEntryFinder.h"
#include "gpEntryLinks.h"
#include "gpEntryRanking.h"

namespace {

constexpr std::size_t kLinks = 8;
constexpr std::size_t kDataCentres = 5;
constexpr gpMillis kStep{ 50 };

gpKnownEntry
MakeEntry(std::size_t aIndex, std::uint32_t aMilliCores = 250)
{
  return { gpAddress("10.0.0." + std::to_string(aIndex) + ":7000"),
           gpDataCentreName("dc-" + std::to_string(aIndex % kDataCentres)),
           aMilliCores };
}

std::map<gpAddress, gpKnownEntry>
MakeFleet(std::size_t aCount)
{
  std::map<gpAddress, gpKnownEntry> fleet;
  for (std::size_t index = 0; index < aCount; ++index) {
    const gpKnownEntry entry = MakeEntry(index);
    fleet.emplace(entry.address_, entry);
  }
  return fleet;
}

/// Counts for each entry how many of aGuards guards choose it.
std::map<gpAddress, std::size_t>
CountChoices(const std::map<gpAddress, gpKnownEntry>& aFleet,
             std::size_t aGuards)
{
  std::map<gpAddress, std::size_t> choices;
  for (std::size_t guard = 0; guard < aGuards; ++guard) {
    auto order =
      gpRankEntries("guard-" + std::to_string(guard), aFleet, kLinks);
    order.resize(std::min(order.size(), kLinks));
    for (const gpAddress& entry : order) {
      ++choices[entry];
    }
  }
  return choices;
}

/// A guard's gpEntryFinder with simulated entries, some of which can be
/// reached.
class World
{
public:
  explicit World(std::size_t aEntries, std::size_t aSeeds = 3)
  {
    std::vector<gpAddress> seeds;
    for (std::size_t index = 0; index < aEntries; ++index) {
      const gpKnownEntry entry = MakeEntry(index);
      up_.insert(entry.address_);
      entries_.push_back(entry);
      if (index < aSeeds) {
        seeds.push_back(entry.address_);
      }
    }
    finder_.SetConfigured(seeds);
  }

  void Pass(gpMillis aTime)
  {
    for (const gpTime end = now_ + aTime; now_ < end; now_ += kStep) {
      Step();
    }
  }

  void Fail(const gpAddress& aEntry)
  {
    up_.erase(aEntry);
    for (const auto& [link, entry] : std::map(finder_.GetLinks())) {
      if (entry == aEntry) {
        finder_.OnLost(link, now_);
      }
    }
  }

  std::set<gpAddress> Linked() const
  {
    std::set<gpAddress> linked;
    for (const auto& [link, entry] : finder_.GetLinks()) {
      linked.insert(entry);
    }
    return linked;
  }

  gpEntryFinder finder_{ { {}, "guard-1", kLinks } };
  gpTime now_{ gpMillis(1000) };
  std::set<gpAddress> up_;
  /// Second addresses of entries in up_, and the first ones.
  std::map<gpAddress, gpAddress> sameEntry_;
  std::set<gpAddress> watched_;
  std::size_t dials_ = 0;
  std::size_t mostWatched_ = 0;
  std::size_t leastLinked_ = 0;

private:
  void Step()
  {
    gpLeaseEffects out;
    finder_.Update(now_, out);
    for (const gpLinkId link : finder_.ListSurplus(now_)) {
      finder_.Release(link, out);
    }
    for (const gpLeaseEffect& effect : out.Take()) {
      if (const auto* watch = std::get_if<gpWatchAddress>(&effect)) {
        watched_.insert(watch->address_);
      } else if (const auto* drop = std::get_if<gpUnwatchAddress>(&effect)) {
        watched_.erase(drop->address_);
      }
    }
    Dial();
    mostWatched_ = std::max(mostWatched_, watched_.size());
    leastLinked_ = std::min(leastLinked_, Linked().size());
  }

  void Dial()
  {
    const std::set<gpAddress> linked = Linked();
    for (const gpAddress& entry : watched_) {
      if (linked.contains(entry)) {
        continue;
      }
      ++dials_;
      if (up_.contains(entry)) {
        finder_.OnLinked(entry, gpLinkId(++lastLink_), IncarnationAt(entry));
        finder_.Learn(entries_);
      } else {
        finder_.OnDialFailed(entry, now_);
      }
    }
  }

  /// The incarnation of the entry that listens at the address.
  gpIncarnation IncarnationAt(const gpAddress& aAddress) const
  {
    const auto same = sameEntry_.find(aAddress);
    const gpAddress& entry = same == sameEntry_.end() ? aAddress : same->second;
    return gpIncarnation(std::hash<std::string>()(entry.value_));
  }

  std::vector<gpKnownEntry> entries_;
  std::uint64_t lastLink_ = 0;
};

} // namespace

// Guards against a guard whose links with an entry replace each other without
// end, as a record in the store names the entry by a second address.
BOOST_AUTO_TEST_CASE(AnEntryWithTwoAddressesIsLinkedOnce)
{
  constexpr std::size_t kMostDials = 3;
  World world(1);
  const gpAddress first = MakeEntry(0).address_;
  const gpAddress second("10.0.0.200:7000");
  world.Pass(gpMillis(1000));
  world.up_.insert(second);
  world.sameEntry_.emplace(second, first);
  world.finder_.Learn({ { second, {}, 0 } });
  world.Pass(gpMillis(20000));
  BOOST_TEST(world.Linked().size() == 1U);
  BOOST_TEST(world.dials_ <= kMostDials);
  // The other address is used when this one is lost.
  world.Fail(*world.Linked().begin());
  world.Pass(gpMillis(1000));
  BOOST_TEST(world.Linked().size() == 1U);
}

BOOST_AUTO_TEST_CASE(LinksOfALargeFleetAreSpreadEvenly)
{
  const auto choices = CountChoices(MakeFleet(55), 240);
  BOOST_TEST(choices.size() == 55U);
  for (const auto& [entry, guards] : choices) {
    // On average 240 * 8 / 55 = 35.
    BOOST_TEST(guards > 12U);
    BOOST_TEST(guards < 70U);
  }
}

BOOST_AUTO_TEST_CASE(LargeEntriesGetMoreLinks)
{
  std::map<gpAddress, gpKnownEntry> fleet;
  for (std::size_t index = 0; index < 50; ++index) {
    const gpKnownEntry entry = MakeEntry(index, index % 2 == 0 ? 90 : 500);
    fleet.emplace(entry.address_, entry);
  }
  std::size_t small = 0;
  std::size_t large = 0;
  for (const auto& [entry, guards] : CountChoices(fleet, 500)) {
    (fleet.at(entry).milliCores_ == 90 ? small : large) += guards;
  }
  BOOST_TEST(large > small * 3 / 2);
  BOOST_TEST(large < small * 4);
}

BOOST_AUTO_TEST_CASE(TheLossOfADataCentreLeavesEachGuardHalfOfItsLinks)
{
  const auto fleet = MakeFleet(55);
  for (std::size_t guard = 0; guard < 240; ++guard) {
    auto order = gpRankEntries("guard-" + std::to_string(guard), fleet, kLinks);
    order.resize(kLinks);
    std::map<gpDataCentreName, std::size_t> links;
    for (const gpAddress& entry : order) {
      BOOST_TEST(++links[fleet.at(entry).dataCentre_] <= kLinks / 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(AddingAnEntryMovesFewLinks)
{
  const auto fleet = MakeFleet(54);
  auto grown = fleet;
  const gpKnownEntry added = MakeEntry(54);
  grown.emplace(added.address_, added);
  std::size_t moved = 0;
  for (std::size_t guard = 0; guard < 240; ++guard) {
    const std::string name = "guard-" + std::to_string(guard);
    auto before = gpRankEntries(name, fleet, kLinks);
    auto after = gpRankEntries(name, grown, kLinks);
    before.resize(kLinks);
    after.resize(kLinks);
    for (const gpAddress& entry : after) {
      const bool isNew =
        std::find(before.begin(), before.end(), entry) == before.end();
      moved += isNew ? 1 : 0;
    }
  }
  // Only links to the new entry move, and a few others that keep at most half
  // of a guard's links in one data centre.
  BOOST_TEST(moved > 0U);
  BOOST_TEST(moved < 240U * kLinks / 54 * 2);
}

BOOST_AUTO_TEST_CASE(AGuardLinksWithAFewOfManyEntries)
{
  World world(55);
  world.Pass(gpMillis(3000));
  BOOST_TEST(world.Linked().size() == kLinks);
  BOOST_TEST(world.watched_.size() == kLinks);
  BOOST_TEST(world.mostWatched_ <= kLinks + 3);
}

BOOST_AUTO_TEST_CASE(AGuardLinksWithAllOfFewEntries)
{
  World world(3);
  world.Pass(gpMillis(3000));
  BOOST_TEST(world.Linked().size() == 3U);
}

BOOST_AUTO_TEST_CASE(AnUnreachableEntryIsReplacedUntilItIsReachableAgain)
{
  World world(55);
  world.Pass(gpMillis(3000));
  const std::set<gpAddress> before = world.Linked();
  const gpAddress lost = *before.begin();
  world.Fail(lost);
  world.Pass(gpMillis(1000));
  BOOST_TEST(world.Linked().size() == kLinks);
  BOOST_TEST(!world.Linked().contains(lost));
  world.up_.insert(lost);
  world.leastLinked_ = kLinks;
  world.Pass(gpMillis(3000));
  BOOST_TEST((world.Linked() == before));
  // The replacement is closed only after the original entry is linked again.
  BOOST_TEST(world.leastLinked_ == kLinks);
}

BOOST_AUTO_TEST_CASE(AGuardReplacesItsLinksWhenHalfOfTheEntriesFail)
{
  World world(55);
  world.Pass(gpMillis(3000));
  for (std::size_t index = 0; index < 55; index += 2) {
    world.Fail(MakeEntry(index).address_);
  }
  world.Pass(gpMillis(2000));
  BOOST_TEST(world.Linked().size() == kLinks);
  BOOST_TEST(world.mostWatched_ <= 3 * kLinks + 3);
}

BOOST_AUTO_TEST_CASE(LongUnreachableEntriesAreDialedRarelyAndThenForgotten)
{
  World world(12);
  world.Pass(gpMillis(3000));
  const gpAddress lost = *world.Linked().rbegin();
  world.Fail(lost);
  world.Pass(gpMillis(12000));
  world.dials_ = 0;
  world.Pass(gpMillis(20000));
  BOOST_TEST(world.dials_ > 0U);
  BOOST_TEST(world.dials_ < 50U);
  const auto isNamed = [&] {
    const gpEntryUpdate update = world.finder_.MakeUpdate(world.now_);
    return std::any_of(
      update.entries_.begin(), update.entries_.end(), [&](const auto& aEntry) {
        return aEntry.address_ == lost;
      });
  };
  BOOST_TEST(!isNamed());
  world.Pass(gpMillis(40000));
  world.dials_ = 0;
  world.Pass(gpMillis(5000));
  BOOST_TEST(world.dials_ == 0U);
}

BOOST_AUTO_TEST_CASE(AGuardLinksAgainAfterAllEntriesWereUnreachable)
{
  World world(55);
  world.Pass(gpMillis(3000));
  const std::set<gpAddress> up = world.up_;
  for (const gpAddress& entry : up) {
    world.Fail(entry);
  }
  world.Pass(gpMillis(90000));
  BOOST_TEST(world.Linked().empty());
  BOOST_TEST(world.watched_.size() <= 3 * kLinks);
  world.up_ = up;
  world.Pass(gpMillis(3000));
  BOOST_TEST(world.Linked().size() == kLinks);
}

BOOST_AUTO_TEST_CASE(TheNumberOfKnownEntriesIsBounded)
{
  gpEntryDirectory directory(gpAddress("10.0.0.1:7000"));
  for (std::size_t index = 0; index < 3 * gpEntryDirectory::kMostEntries;
       ++index) {
    directory.Learn({ gpAddress("entry-" + std::to_string(index)), {}, 0 });
  }
  BOOST_TEST(directory.GetAll().size() == gpEntryDirectory::kMostEntries);
  BOOST_TEST(!directory.Learn({ gpAddress("10.0.0.1:7000"), {}, 0 }));
  BOOST_TEST(!directory.Learn({}));
}

BOOST_AUTO_TEST_CASE(DetailsOfAKnownEntryAreNotOverwritten)
{
  gpEntryDirectory directory((gpAddress()));
  const gpAddress entry("10.0.0.1:7000");
  BOOST_TEST(directory.Learn({ entry, {}, 0 }));
  BOOST_TEST(directory.Learn({ entry, gpDataCentreName("dc-1"), 90 }));
  BOOST_TEST(!directory.Learn({ entry, gpDataCentreName("dc-2"), 500 }));
  BOOST_TEST(!directory.Learn({ entry, {}, 0 }));
  BOOST_TEST(directory.TakeChanged().size() == 1U);
  BOOST_TEST(directory.TakeChanged().empty());
}

BOOST_AUTO_TEST_CASE(ASurplusLinkIsClosedWhenItsRunsHaveEnded)
{
  const gpLinkId oldLink(1);
  const gpLinkId newLink(2);
  const gpIncarnation oldEntry(11);
  const auto order = gpRankEntries("guard-1", MakeFleet(2), 1);
  gpEntryLinks links("guard-1", 1);
  gpRunTable runs;
  gpGuardRun run;
  run.id_ = { "job.0.0.0", 1 };
  run.owner_ = oldEntry;
  runs.Add(run);
  gpTime now{ gpMillis(1000) };
  gpLeaseEffects out;
  links.GetFinder().SetConfigured({ order[1] });
  links.Update(runs, now, out);
  links.Open(oldLink, order[1], oldEntry);
  links.GetFinder().SetConfigured(order);
  links.Update(runs, now, out);
  BOOST_TEST(!links.IsSurplus(oldLink));
  links.Open(newLink, order[0], gpIncarnation(12));
  links.Update(runs, now, out);
  BOOST_TEST(links.IsSurplus(oldLink));
  // Only the entry of the surplus link is sent an update by which its target
  // accepts no more work.
  out.Take();
  gpTargetUpdate update;
  update.takesWork_ = true;
  links.SendUpdates(update, {}, now, out);
  for (const gpLeaseEffect& effect : out.Take()) {
    const auto& send = std::get<gpSend>(effect);
    if (const auto* sent = std::get_if<gpTargetUpdate>(&send.message_)) {
      BOOST_TEST(sent->takesWork_ == (send.link_ == newLink));
    }
  }
  now += gpMillis(5000);
  links.Update(runs, now, out);
  BOOST_TEST(links.Contains(oldLink));
  runs.Remove(run.id_);
  links.Update(runs, now, out);
  BOOST_TEST(!links.Contains(oldLink));
  BOOST_TEST(links.Contains(newLink));
}

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "gpRosterStream.h"

namespace {

const gpServiceName kService("pond-order");

gpMember
Member(std::uint64_t aGuard)
{
  return { gpIncarnation(aGuard),
           gpAddress("127.0.0.1:7001"),
           kService,
           gpRegionName("gulf-south"),
           gpDataCentreName("dc-1"),
           gpRackName("r1"),
           8 };
}

std::string
Join(std::uint64_t aGuard)
{
  return gpRenderJoin(Member(aGuard));
}

std::string
Remove(const std::vector<std::uint64_t>& aGuards)
{
  return gpRenderRemove({ aGuards.begin(), aGuards.end() });
}

struct Reader
{
  std::vector<gpRoster> rosters_;
  std::vector<gpRosterStep> steps_;
  gpRosterStream stream_{ [this](const gpRosterEvent& aEvent) {
    rosters_.push_back(aEvent.roster_);
    steps_.push_back(aEvent.step_);
  } };

  void Read(std::uint64_t aFrom, const std::vector<std::string>& aRecords)
  {
    for (const std::string& record : aRecords) {
      stream_.Fold(gpLogOffset(aFrom), record);
      ++aFrom;
    }
  }
};

std::string
CheckpointOf(const gpRoster& aRoster, std::uint64_t aAsOf)
{
  return gpRenderCheckpoint(aRoster, gpLogOffset(aAsOf));
}

const std::vector<std::string> kRecords = {
  Join(1), Join(1), Join(2), Remove({ 9 }), Remove({ 1, 9 }), Join(3),
};

} // namespace

BOOST_AUTO_TEST_SUITE(RosterStream)

BOOST_AUTO_TEST_CASE(ReportsEachEpochInOrder)
{
  Reader reader;
  reader.Read(0, kRecords);
  std::vector<std::uint64_t> epochs;
  for (const gpRoster& roster : reader.rosters_) {
    epochs.push_back(roster.epoch_.value_);
  }
  BOOST_TEST((epochs == std::vector<std::uint64_t>{ 1, 3, 5, 6 }));
  BOOST_TEST((reader.rosters_[0].members_.at(gpIncarnation(1)) == Member(1)));
  BOOST_TEST(!reader.rosters_[0].claimableServices_.contains(kService));
  BOOST_TEST(reader.rosters_[1].claimableServices_.at(kService));
  // A service stays formed, also when only one member is left.
  BOOST_TEST(reader.rosters_[2].members_.size() == 1U);
  BOOST_TEST(reader.rosters_[2].claimableServices_.at(kService));
}

BOOST_AUTO_TEST_CASE(StartsFromACheckpoint)
{
  Reader whole;
  whole.Read(0, kRecords);
  std::vector<std::string> records = kRecords;
  records.push_back(CheckpointOf(whole.rosters_[1], 3));
  records.push_back(Join(4));
  whole.Read(6, { records.begin() + 6, records.end() });
  for (std::ptrdiff_t from = 0; from <= 4; ++from) {
    Reader reader;
    reader.Read(from, { records.begin() + from, records.end() });
    BOOST_TEST(reader.stream_.IsCurrent());
    BOOST_TEST((reader.stream_.GetState() == whole.stream_.GetState()));
  }
  Reader tooLate;
  tooLate.Read(5, { records.begin() + 5, records.end() });
  BOOST_TEST(!tooLate.stream_.IsCurrent());
  BOOST_TEST(tooLate.rosters_.empty());
}

// Ten records of 1 MiB each exceed the size up to which the fold retains
// changes (8 MiB), so it can't refold from the first of them.
BOOST_AUTO_TEST_CASE(RetainsABoundedNumberOfBytes)
{
  constexpr std::size_t kGuards = (1U << 20U) / 19;
  std::vector<gpIncarnation> guards;
  for (std::uint64_t guard = 1; guard <= kGuards; ++guard) {
    guards.emplace_back(guard);
  }
  const std::vector<std::string> records(10, gpRenderRemove(guards));
  Reader reader;
  reader.Read(10, records);
  BOOST_TEST(reader.steps_.empty());
  reader.Read(20, { CheckpointOf({}, 9) });
  BOOST_TEST(!reader.stream_.IsCurrent());
  reader.Read(21, { CheckpointOf({}, 17) });
  BOOST_TEST(reader.stream_.IsCurrent());
}

BOOST_AUTO_TEST_CASE(AdoptsARosterOnlyIfItHasNone)
{
  Reader whole;
  whole.Read(0, kRecords);
  const auto update = whole.stream_.MakeUpdate();
  BOOST_REQUIRE(update.has_value());
  Reader reader;
  BOOST_TEST(!reader.stream_.MakeUpdate().has_value());
  BOOST_TEST(!reader.stream_.Adopt(gpRosterUpdate()));
  BOOST_TEST(reader.stream_.Adopt({ whole.rosters_[1] }));
  BOOST_TEST(!reader.stream_.Adopt(*update));
  reader.Read(3, { kRecords.begin() + 3, kRecords.end() });
  BOOST_TEST((reader.stream_.GetState() == whole.stream_.GetState()));
  BOOST_TEST((reader.steps_ == std::vector{ gpRosterStep::TakenOver,
                                            gpRosterStep::Changed,
                                            gpRosterStep::Changed }));
}

BOOST_AUTO_TEST_CASE(SkipsBadRecords)
{
  const std::vector<std::string> bad = {
    "",
    "{}",
    R"({"kind": "join"})",
    R"({"kind": "remove", "guards": ["1"]})",
    R"({"kind": "remove", "guards": ["0000000000000000"]})",
    R"({"kind": "checkpoint", "as_of": 3, "epoch": 5, "members": [],
        "formed": []})",
    Join(1).substr(0, 50),
    Join(0),
    CheckpointOf({}, 9),
  };
  Reader reader;
  reader.Read(0, bad);
  BOOST_TEST((reader.steps_ ==
              std::vector<gpRosterStep>(bad.size(), gpRosterStep::BadRecord)));
  BOOST_TEST(reader.stream_.GetState().epoch_.value_ == 0U);
  reader.Read(9, { Join(1) });
  BOOST_TEST(reader.stream_.GetState().epoch_.value_ == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

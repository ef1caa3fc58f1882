#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "gpConfigurationFile.h"
#include "gpConfigurationStream.h"

namespace {

using Verdict = gpConfigurationVerdict;

gpConfiguration
File(const std::string& aRegion)
{
  gpConfiguration file;
  const gpServiceName name("pond-order");
  file.services_[name].name_ = name;
  file.services_[name].region_ = gpRegionName(aRegion);
  return file;
}

// The apply ID is also the region in the file, so that a test can check which
// apply is in force.
std::string
Apply(std::uint64_t aBase, const std::string& aId)
{
  return gpRenderApply(gpConfigVersion(aBase), gpApplyId(aId), File(aId));
}

gpVersionedConfiguration
State(std::uint64_t aVersion, const std::string& aId)
{
  const gpConfiguration file = File(aId);
  return {
    gpConfigVersion(aVersion), file, gpRenderConfiguration(file), gpApplyId(aId)
  };
}

std::string
Checkpoint(std::uint64_t aVersion, const std::string& aId, std::uint64_t aAsOf)
{
  return gpRenderCheckpoint(State(aVersion, aId), gpLogOffset(aAsOf));
}

gpConfigurationUpdate
Update(std::uint64_t aVersion, const std::string& aId, std::uint64_t aAsOf)
{
  return { gpConfigVersion(aVersion),
           gpApplyId(aId),
           gpLogOffset(aAsOf),
           State(aVersion, aId).text_ };
}

struct Reader
{
  std::vector<gpConfigurationEvent> events_;
  gpConfigurationStream stream_{ [this](const gpConfigurationEvent& aEvent) {
    events_.push_back(aEvent);
  } };

  void Read(std::uint64_t aFrom, const std::vector<std::string>& aRecords)
  {
    for (const std::string& record : aRecords) {
      stream_.Fold(gpLogOffset(aFrom), record);
      ++aFrom;
    }
  }
  void Check(std::uint64_t aVersion, const std::string& aId, bool aCurrent)
  {
    BOOST_TEST(stream_.GetState().version_.value_ == aVersion);
    BOOST_TEST(stream_.GetState().applyId_.value_ == aId);
    BOOST_TEST(stream_.IsCurrent() == aCurrent);
    if (aVersion > 0) {
      BOOST_TEST(stream_.GetState().text_ == State(aVersion, aId).text_);
    }
  }
  std::vector<Verdict> Verdicts() const
  {
    std::vector<Verdict> verdicts;
    for (const gpConfigurationEvent& event : events_) {
      verdicts.push_back(event.verdict_);
    }
    return verdicts;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStream)

BOOST_AUTO_TEST_CASE(OnlyOneOfConcurrentAppliesIsAccepted)
{
  Reader reader;
  reader.Read(0, { Apply(0, "a"), Apply(1, "b"), Apply(1, "c") });
  reader.Check(2, "b", true);
  BOOST_TEST(
    (reader.Verdicts() ==
     std::vector{ Verdict::Accepted, Verdict::Accepted, Verdict::Conflict }));
  const gpConfigurationEvent& loser = reader.events_.back();
  BOOST_TEST(loser.applyId_.value_ == "c");
  BOOST_TEST(loser.inForce_.value_ == 2U);
  BOOST_TEST((gpErrorCodeOf(loser.error_) == gpErrorCode::VersionConflict));
  BOOST_TEST(gpErrorText(loser.error_) ==
             "made from version 1, but version 2 was in force");
}

BOOST_AUTO_TEST_CASE(RejectedRecordsChangeNothing)
{
  std::string wrongVersion = Apply(1, "d");
  wrongVersion.replace(wrongVersion.find("\"version\":2"), 11, "\"version\":3");
  std::string badFile = Apply(1, "e");
  badFile.replace(badFile.find("\"log_silence_ms\":3600000"),
                  24,
                  "\"log_silence_ms\":0      ");
  std::string twice = Apply(1, "f");
  twice.replace(twice.find("\"region\""), 8, "\"region\":\"x\",\"region\"");
  Reader reader;
  reader.Read(0,
              { Apply(0, "a"),
                Apply(0, "a"),
                Apply(0, "b"),
                Apply(2, "c"),
                wrongVersion,
                badFile,
                twice,
                "{\"kind\": \"apply\"}",
                "{\"kind\": \"other\"}",
                "",
                Apply(1, "g").substr(0, 60) });
  reader.Check(1, "a", true);
  BOOST_TEST((reader.Verdicts() == std::vector{ Verdict::Accepted,
                                                Verdict::Repeated,
                                                Verdict::Conflict,
                                                Verdict::Conflict,
                                                Verdict::WrongVersion,
                                                Verdict::BadFile,
                                                Verdict::BadFile,
                                                Verdict::BadRecord,
                                                Verdict::BadRecord,
                                                Verdict::BadRecord,
                                                Verdict::BadRecord }));
  const auto errors = gpErrorsOf(reader.events_[5].error_);
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].path_ == "/services/pond-order/claims/log_silence_ms");
  reader.Read(11, { Apply(1, "h") });
  reader.Check(2, "h", true);
}

BOOST_AUTO_TEST_CASE(RecordsReadTwiceAreIgnored)
{
  Reader reader;
  reader.Read(0, { Apply(0, "a"), Apply(1, "b") });
  reader.Read(0, { Apply(0, "a"), Apply(1, "b"), Apply(2, "c") });
  reader.Check(3, "c", true);
  BOOST_TEST(reader.events_.size() == 3U);
}

// The records at 30 and 31 are both based on version 5, so the second one is a
// conflict. A reader that starts at offset 30 doesn't know the version in force
// there, and must not decide on either before it has read a checkpoint.
BOOST_AUTO_TEST_CASE(TruncatedLogNeedsACheckpoint)
{
  Reader reader;
  reader.stream_.SetEarliest(gpLogOffset(30));
  reader.Check(0, "", false);
  reader.Read(30, { Apply(5, "winner"), Apply(5, "loser") });
  reader.Check(0, "", false);
  // This checkpoint includes the records up to 28. The record at 29 was deleted
  // from the log, so the reader still has a gap.
  reader.Read(32, { Checkpoint(4, "old", 28) });
  reader.Check(0, "", false);
  BOOST_TEST(reader.events_.empty());
  reader.Read(33, { Checkpoint(5, "five", 29) });
  reader.Check(6, "winner", true);
  BOOST_TEST(
    (reader.Verdicts() ==
     std::vector{ Verdict::TakenOver, Verdict::Accepted, Verdict::Conflict }));
  BOOST_TEST(reader.stream_.RecoverableFrom().value_ == 30U);
  BOOST_TEST(reader.stream_.NextOffset().value_ == 34U);
}

BOOST_AUTO_TEST_CASE(CheckpointMayBeOlderThanRecordsBeforeIt)
{
  const std::vector<std::string> records = {
    Apply(0, "a"),         Apply(1, "b"), Apply(0, "late"),
    Checkpoint(2, "b", 1), Apply(1, "c"), Apply(2, "d"),
    Checkpoint(1, "a", 0), Apply(3, "e"), Checkpoint(4, "e", 7),
  };
  // Every reader reaches the same state, wherever it starts.
  for (std::ptrdiff_t from = 0; from <= 8; ++from) {
    Reader reader;
    reader.Read(from, { records.begin() + from, records.end() });
    reader.Check(4, "e", true);
  }
}

BOOST_AUTO_TEST_CASE(ReaderWithStateIgnoresCheckpointsThatAreNotNewer)
{
  Reader reader;
  reader.Read(0, { Apply(0, "a"), Checkpoint(1, "x", 0) });
  reader.Check(1, "a", true);
  BOOST_TEST(reader.events_.size() == 1U);
  reader.Read(2, { Apply(4, "e"), Checkpoint(4, "d", 1) });
  reader.Check(5, "e", true);
  reader.Read(4, { Checkpoint(9, "z", 4), Checkpoint(9, "z", 9) });
  reader.Check(5, "e", true);
  BOOST_TEST((reader.events_.back().verdict_ == Verdict::BadRecord));
  reader.Read(6, { Checkpoint(2, "y", 5) });
  reader.Check(5, "e", true);
}

BOOST_AUTO_TEST_CASE(ReaderThatMissedRecordsWaitsForACheckpoint)
{
  Reader reader;
  reader.Read(0, { Apply(0, "a") });
  // Records 1 to 9 were deleted from the log before this reader read them; one
  // of them put version 2 in force.
  reader.Read(10, { Apply(1, "loser"), Apply(2, "c") });
  reader.Check(1, "a", false);
  reader.Read(12, { Checkpoint(3, "c", 11) });
  reader.Check(3, "c", true);
}

BOOST_AUTO_TEST_CASE(AdoptsOnlyNewerUpdates)
{
  Reader reader;
  BOOST_TEST(*reader.stream_.Adopt(Update(3, "c", 20)));
  reader.Check(3, "c", true);
  BOOST_TEST(!*reader.stream_.Adopt(Update(3, "c", 25)));
  BOOST_TEST(!*reader.stream_.Adopt(Update(2, "b", 30)));
  reader.Check(3, "c", true);
  BOOST_TEST(reader.stream_.NextOffset().value_ == 21U);
  gpConfigurationUpdate bad = Update(4, "d", 30);
  bad.text_ = bad.text_.substr(0, 20);
  BOOST_TEST((gpErrorCodeOf(reader.stream_.Adopt(bad).status()) ==
              gpErrorCode::BadConfiguration));
  // The sender's state includes the record at 19. This reader must ignore that
  // record, and not check it against the later version that it has adopted.
  reader.Read(19, { Apply(3, "loser"), "", Apply(3, "d") });
  reader.Check(4, "d", true);
  const auto update = reader.stream_.MakeUpdate();
  BOOST_REQUIRE(update.has_value());
  BOOST_TEST((*update == Update(4, "d", 21)));
}

BOOST_AUTO_TEST_CASE(UpdateClosesAGapInTheRecords)
{
  Reader reader;
  BOOST_TEST(!reader.stream_.MakeUpdate().has_value());
  reader.Read(10, { Apply(3, "d"), Apply(4, "e"), Apply(4, "f") });
  BOOST_TEST(*reader.stream_.Adopt(Update(2, "b", 5)));
  reader.Check(2, "b", false);
  BOOST_TEST(*reader.stream_.Adopt(Update(4, "d", 10)));
  reader.Check(5, "e", true);
  BOOST_TEST((*reader.stream_.MakeUpdate() == Update(5, "e", 12)));
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>
#include <vector>

#include "gpConfigurationLog.h"
#include "gpError.h"

namespace {

// What the log does with one append.
enum class Fate
{
  Answer,
  LoseAnswer,    // written, but the caller sees a failure
  LoseRequest,   // not written
  RefuseConnect, // nobody listens
  Delay,         // written when the next append comes
};

struct FakeLog : gpLogAccess
{
  std::vector<std::string> records_;
  std::uint64_t earliest_ = 0;
  bool isDown_ = false;
  // Behaviour of the next appends; Answer when it's empty.
  std::deque<Fate> script_;
  // Written just before the next append.
  std::string rival_;
  std::string delayed_;
  int appends_ = 0;

  absl::StatusOr<gpLogOffset> Append(const std::string& aData) override
  {
    ++appends_;
    const auto behaviour = script_.empty() ? Fate::Answer : script_.front();
    if (!script_.empty()) {
      script_.pop_front();
    }
    WritePending(rival_);
    WritePending(delayed_);
    switch (behaviour) {
      case Fate::Answer:
        Write(aData);
        return gpLogOffset(records_.size() - 1);
      case Fate::LoseAnswer:
        records_.push_back(aData);
        break;
      case Fate::Delay:
        delayed_ = aData;
        break;
      case Fate::RefuseConnect:
        return gpMakeError(gpErrorCode::ConnectRefused, "refused");
      case Fate::LoseRequest:
        break;
    }
    return gpMakeError(gpErrorCode::LogUnavailable, "no answer");
  }
  absl::StatusOr<gpLogBatch> Read(gpLogOffset aFrom) override
  {
    if (isDown_) {
      return gpMakeError(gpErrorCode::LogUnavailable, "down");
    }
    gpLogBatch batch{ gpLogOffset(earliest_),
                      gpLogOffset(records_.size()),
                      {} };
    const auto from = std::max(aFrom.value_, earliest_);
    for (auto i = from; i < records_.size() && i < from + 2; ++i) {
      batch.records_.push_back({ gpLogOffset(i), records_[i] });
    }
    return batch;
  }
  void Pause(gpMillis /*aTime*/) override {}

  void WritePending(std::string& aData)
  {
    if (!aData.empty()) {
      records_.push_back(std::exchange(aData, {}));
    }
  }
  void Write(const std::string& aData) { records_.push_back(aData); }
};

const gpApplyId kMine("mine");
const gpApplyId kRival("rival");

std::string
Record(std::uint64_t aBase, const gpApplyId& aId)
{
  return gpRenderApply(gpConfigVersion(aBase), aId, {});
}

void
CheckApply(FakeLog& aLog, gpApplyEnd aEnd, std::uint64_t aVersion)
{
  gpConfigurationLog log(aLog);
  const gpApplyResult result = log.Apply({}, kMine, std::nullopt);
  BOOST_TEST((result.end_ == aEnd));
  BOOST_TEST(result.version_.value_ == aVersion);
  BOOST_TEST(result.why_.ok() == (aEnd == gpApplyEnd::Applied));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationLog)

BOOST_AUTO_TEST_CASE(AppliesOnTheVersionInForce)
{
  FakeLog log;
  CheckApply(log, gpApplyEnd::Applied, 1);
  for (std::uint64_t base = 1; base < 6; ++base) {
    log.Write(Record(base, gpApplyId("a" + std::to_string(base))));
  }
  gpConfigurationLog reader(log);
  BOOST_TEST(reader.ReadToEnd().ok());
  BOOST_TEST(reader.GetInForce().version_.value_ == 6U);
}

BOOST_AUTO_TEST_CASE(LosesARaceWithAClearConflict)
{
  FakeLog log;
  log.rival_ = Record(0, kRival);
  gpConfigurationLog mine(log);
  const gpApplyResult result = mine.Apply({}, kMine, std::nullopt);
  BOOST_TEST((result.end_ == gpApplyEnd::Conflict));
  BOOST_TEST(result.inForce_.value_ == 1U);
  BOOST_TEST((result.inForceApply_ == kRival));
  BOOST_TEST((gpErrorCodeOf(result.why_) == gpErrorCode::VersionConflict));
}

BOOST_AUTO_TEST_CASE(OutdatedBaseIsAConflictThatWritesNothing)
{
  FakeLog log;
  log.Write(Record(0, kRival));
  for (const std::uint64_t base : { 0, 2 }) {
    gpConfigurationLog mine(log);
    const gpApplyResult result = mine.Apply({}, kMine, gpConfigVersion(base));
    BOOST_TEST((result.end_ == gpApplyEnd::Conflict));
    BOOST_TEST(result.inForce_.value_ == 1U);
  }
  BOOST_TEST(log.appends_ == 0);
}

BOOST_AUTO_TEST_CASE(SettlesALostAnswerByReading)
{
  FakeLog log;
  log.script_ = { Fate::LoseAnswer };
  CheckApply(log, gpApplyEnd::Applied, 1);
  BOOST_TEST(log.appends_ == 1);
}

BOOST_AUTO_TEST_CASE(AppendsALostRequestAgain)
{
  FakeLog log;
  log.script_ = { Fate::LoseRequest, Fate::RefuseConnect };
  CheckApply(log, gpApplyEnd::Applied, 1);
  BOOST_TEST(log.records_.size() == 1U);
}

// The first append arrives after all, before the second: one of them counts.
BOOST_AUTO_TEST_CASE(LateAppendCountsOnce)
{
  FakeLog log;
  log.script_ = { Fate::Delay };
  CheckApply(log, gpApplyEnd::Applied, 1);
  BOOST_TEST(log.records_.size() == 2U);
  gpConfigurationLog reader(log);
  BOOST_TEST(reader.ReadToEnd().ok());
  BOOST_TEST(reader.GetInForce().version_.value_ == 1U);
}

BOOST_AUTO_TEST_CASE(SaysWhatIsKnownWithoutALog)
{
  FakeLog down;
  down.isDown_ = true;
  CheckApply(down, gpApplyEnd::NotWritten, 0);
  BOOST_TEST(down.appends_ == 0);

  FakeLog unreachable;
  unreachable.script_ = std::deque<Fate>(9, Fate::RefuseConnect);
  CheckApply(unreachable, gpApplyEnd::NotWritten, 0);

  FakeLog silent;
  silent.script_ = std::deque<Fate>(9, Fate::LoseRequest);
  CheckApply(silent, gpApplyEnd::Unknown, 0);
}

BOOST_AUTO_TEST_CASE(TruncatedLogWithoutCheckpointWritesNothing)
{
  FakeLog log;
  log.records_ = { Record(0, kRival), Record(1, gpApplyId("b")) };
  log.earliest_ = 1;
  CheckApply(log, gpApplyEnd::NotWritten, 0);
  BOOST_TEST(log.appends_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>
#include <vector>

#include "gpConfigurationLog.h"
#include "gpError.h"

namespace {

// How the fake log handles one append.
enum class AppendBehaviour
{
  Answer,        // written, and the caller gets the offset
  LoseAnswer,    // written, but the caller gets an error
  LoseRequest,   // not written; the caller gets an error
  RefuseConnect, // not written; the connection is refused
  Delay,         // the caller gets an error; written at the next append
};

struct FakeLog : gpLogAccess
{
  std::vector<std::string> records_;
  std::uint64_t earliest_ = 0;
  bool isDown_ = false;
  // Behaviour of the next appends, in order; Answer if empty.
  std::deque<AppendBehaviour> script_;
  // A record that another operator writes just before the next append.
  std::string competing_;
  // A delayed record, written at the next append.
  std::string delayed_;
  int appends_ = 0;

  absl::StatusOr<gpLogOffset> Append(const std::string& aData) override
  {
    ++appends_;
    const auto behaviour =
      script_.empty() ? AppendBehaviour::Answer : script_.front();
    if (!script_.empty()) {
      script_.pop_front();
    }
    WritePending(competing_);
    WritePending(delayed_);
    switch (behaviour) {
      case AppendBehaviour::Answer:
        Write(aData);
        return gpLogOffset(records_.size() - 1);
      case AppendBehaviour::LoseAnswer:
        records_.push_back(aData);
        break;
      case AppendBehaviour::Delay:
        delayed_ = aData;
        break;
      case AppendBehaviour::RefuseConnect:
        return gpMakeError(gpErrorCode::ConnectRefused, "refused");
      case AppendBehaviour::LoseRequest:
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

const gpApplyId kOwnApply("mine");
const gpApplyId kCompetingApply("rival");

std::string
Record(std::uint64_t aBase, const gpApplyId& aId)
{
  return gpRenderApply(gpConfigVersion(aBase), aId, {});
}

void
CheckApply(FakeLog& aLog, gpApplyOutcome aOutcome, std::uint64_t aVersion)
{
  gpConfigurationLog log(aLog);
  const gpApplyResult result = log.Apply({}, kOwnApply, std::nullopt);
  BOOST_TEST((result.outcome_ == aOutcome));
  BOOST_TEST(result.version_.value_ == aVersion);
  BOOST_TEST(result.error_.ok() == (aOutcome == gpApplyOutcome::Applied));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationLog)

BOOST_AUTO_TEST_CASE(AppliesOnTheVersionInForce)
{
  FakeLog log;
  CheckApply(log, gpApplyOutcome::Applied, 1);
  for (std::uint64_t base = 1; base < 6; ++base) {
    log.Write(Record(base, gpApplyId("a" + std::to_string(base))));
  }
  gpConfigurationLog reader(log);
  BOOST_TEST(reader.ReadToEnd().ok());
  BOOST_TEST(reader.GetInForce().version_.value_ == 6U);
}

BOOST_AUTO_TEST_CASE(ConcurrentApplyIsAConflict)
{
  FakeLog log;
  log.competing_ = Record(0, kCompetingApply);
  gpConfigurationLog mine(log);
  const gpApplyResult result = mine.Apply({}, kOwnApply, std::nullopt);
  BOOST_TEST((result.outcome_ == gpApplyOutcome::Conflict));
  BOOST_TEST(result.inForce_.value_ == 1U);
  BOOST_TEST((result.inForceApply_ == kCompetingApply));
  BOOST_TEST((gpErrorCodeOf(result.error_) == gpErrorCode::VersionConflict));
}

BOOST_AUTO_TEST_CASE(OutdatedBaseIsAConflictThatWritesNothing)
{
  FakeLog log;
  log.Write(Record(0, kCompetingApply));
  for (const std::uint64_t base : { 0, 2 }) {
    gpConfigurationLog mine(log);
    const gpApplyResult result =
      mine.Apply({}, kOwnApply, gpConfigVersion(base));
    BOOST_TEST((result.outcome_ == gpApplyOutcome::Conflict));
    BOOST_TEST(result.inForce_.value_ == 1U);
  }
  BOOST_TEST(log.appends_ == 0);
}

BOOST_AUTO_TEST_CASE(ReadsTheLogAfterALostAnswer)
{
  FakeLog log;
  log.script_ = { AppendBehaviour::LoseAnswer };
  CheckApply(log, gpApplyOutcome::Applied, 1);
  BOOST_TEST(log.appends_ == 1);
}

BOOST_AUTO_TEST_CASE(AppendsAgainAfterALostRequest)
{
  FakeLog log;
  log.script_ = { AppendBehaviour::LoseRequest,
                  AppendBehaviour::RefuseConnect };
  CheckApply(log, gpApplyOutcome::Applied, 1);
  BOOST_TEST(log.records_.size() == 1U);
}

// The first append seems to have failed, but is written just before the second
// one. Only one of the two records may take effect.
BOOST_AUTO_TEST_CASE(DelayedAppendTakesEffectOnce)
{
  FakeLog log;
  log.script_ = { AppendBehaviour::Delay };
  CheckApply(log, gpApplyOutcome::Applied, 1);
  BOOST_TEST(log.records_.size() == 2U);
  gpConfigurationLog reader(log);
  BOOST_TEST(reader.ReadToEnd().ok());
  BOOST_TEST(reader.GetInForce().version_.value_ == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsNotWrittenOrUnknownIfTheLogFails)
{
  FakeLog down;
  down.isDown_ = true;
  CheckApply(down, gpApplyOutcome::NotWritten, 0);
  BOOST_TEST(down.appends_ == 0);

  FakeLog unreachable;
  unreachable.script_ =
    std::deque<AppendBehaviour>(9, AppendBehaviour::RefuseConnect);
  CheckApply(unreachable, gpApplyOutcome::NotWritten, 0);

  FakeLog silent;
  silent.script_ = std::deque<AppendBehaviour>(9, AppendBehaviour::LoseRequest);
  CheckApply(silent, gpApplyOutcome::Unknown, 0);
}

BOOST_AUTO_TEST_CASE(TruncatedLogWithoutCheckpointWritesNothing)
{
  FakeLog log;
  log.records_ = { Record(0, kCompetingApply), Record(1, gpApplyId("b")) };
  log.earliest_ = 1;
  CheckApply(log, gpApplyOutcome::NotWritten, 0);
  BOOST_TEST(log.appends_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

#include "gpLogServiceStreams.h"

#include <random>
#include <utility>

#include <boost/random/uniform_int_distribution.hpp>

#include "gpConfigurationRecord.h"
#include "gpEventLoop.h"
#include "gpRosterRecord.h"
#include "gpTimerService.h"

namespace {

const char* const kConfigurationStream = "configuration";
const char* const kRosterStream = "roster";
constexpr gpMillis kAppendTimeout{ 3000 };
/// Shortest time between two periodic checkpoints of one process. The longest
/// is twice this time; the log must retain records for longer than that.
constexpr gpMillis kCheckpointPeriod{ 600000 };
/// A checkpoint is due earlier once this many records follow the last one.
constexpr std::uint64_t kCheckpointRecords = 200;
constexpr gpMillis kCheckpointCheckPeriod{ 1000 };

} // namespace

struct gpLogServiceStreams::Impl
{
  Impl(gpTimerService& aTimers, gpLogClient& aLog, Handlers aHandlers)
    : timers_(aTimers)
    , log_(aLog)
    , handlers_(std::move(aHandlers))
    , configuration_(
        [this](const gpConfigurationEvent& aEvent) { OnConfiguration(aEvent); })
    , roster_([this](const gpRosterEvent& aEvent) { OnRoster(aEvent); })
  {
  }

  void OnConfiguration(const gpConfigurationEvent& aEvent)
  {
    const bool changed = aEvent.verdict_ == gpConfigurationVerdict::Accepted ||
                         aEvent.verdict_ == gpConfigurationVerdict::TakenOver;
    if (changed) {
      configurationChanged_ = true;
    } else {
      handlers_.rejected_(aEvent);
    }
  }

  void OnRoster(const gpRosterEvent& aEvent)
  {
    if (aEvent.step_ != gpRosterStep::BadRecord) {
      const bool contiguous = aEvent.step_ == gpRosterStep::Changed;
      handlers_.roster_(aEvent.roster_, contiguous);
    }
  }

  template<typename Stream>
  static void FoldBatch(Stream& aStream, const gpLogBatch& aBatch)
  {
    aStream.SetEarliest(aBatch.earliest_);
    for (const gpLogRecord& record : aBatch.records_) {
      aStream.Fold(record.offset_, record.data_);
    }
  }

  void OnConfigurationBatch(const gpLogBatch& aBatch)
  {
    FoldBatch(configuration_, aBatch);
    ReportConfiguration();
  }

  /// Called once per batch: only the newest version in it is put in force.
  void ReportConfiguration()
  {
    if (std::exchange(configurationChanged_, false)) {
      handlers_.configuration_(configuration_.GetState());
    }
  }

  void OnRosterBatch(const gpLogBatch& aBatch)
  {
    FoldBatch(roster_, aBatch);
    rosterRead_ =
      rosterRead_ || roster_.NextOffset().value_ >= aBatch.next_.value_;
  }

  void OnHealth(const absl::Status& aStatus)
  {
    isLogAvailable_ = aStatus.ok();
    handlers_.health_(aStatus);
  }

  void ScheduleCheckpoint()
  {
    boost::random::uniform_int_distribution<std::int64_t> pick(
      0, kCheckpointPeriod.count());
    nextCheckpoint_ =
      gpEventLoop::Now() + kCheckpointPeriod + gpMillis(pick(generator_));
  }

  void PublishDueCheckpoints()
  {
    const bool isPeriodOver = gpEventLoop::Now() >= nextCheckpoint_;
    Checkpoint(
      configuration_, kConfigurationStream, isPeriodOver, configurationExtra_);
    Checkpoint(roster_, kRosterStream, isPeriodOver, rosterExtra_);
    if (isPeriodOver) {
      ScheduleCheckpoint();
    }
    timers_.Subscribe(gpEventLoop::Now() + kCheckpointCheckPeriod,
                      [this] { PublishDueCheckpoints(); });
  }

  /// Appends a checkpoint if one is due and the stream has grown since the last
  /// one. aExtraRecords is replaced by a new random number.
  template<typename Stream>
  void Checkpoint(Stream& aStream,
                  const char* aName,
                  bool aIsPeriodOver,
                  std::uint64_t& aExtraRecords)
  {
    const auto asOf = aStream.AsOf();
    if (!asOf.has_value() || !aStream.IsCurrent()) {
      return;
    }
    const std::uint64_t next = asOf->value_ + 1;
    const std::uint64_t from = aStream.RecoverableFrom().value_;
    // The number of records is random per process, so that usually one process
    // appends a checkpoint and the others read it before theirs is due.
    const bool isOverRecordLimit =
      next > from + kCheckpointRecords + aExtraRecords;
    if (!isOverRecordLimit && !(aIsPeriodOver && next > from)) {
      return;
    }
    boost::random::uniform_int_distribution<std::uint64_t> pick(
      0, kCheckpointRecords);
    aExtraRecords = pick(generator_);
    log_.Append(aName,
                gpRenderCheckpoint(aStream.GetState(), *asOf),
                kAppendTimeout,
                [](const absl::StatusOr<gpLogOffset>&) {});
  }

  gpTimerService& timers_;
  gpLogClient& log_;
  Handlers handlers_;
  gpConfigurationStream configuration_;
  gpRosterStream roster_;
  bool configurationChanged_ = false;
  bool rosterRead_ = false;
  bool isLogAvailable_ = false;
  std::mt19937_64 generator_;
  gpTime nextCheckpoint_;
  /// Random number of records beyond kCheckpointRecords, for each stream, after
  /// which the next checkpoint is due.
  std::uint64_t configurationExtra_ = 0;
  std::uint64_t rosterExtra_ = 0;
};

gpLogServiceStreams::gpLogServiceStreams(gpTimerService& aTimers,
                                         gpLogClient& aLog,
                                         Handlers aHandlers)
  : impl_(std::make_unique<Impl>(aTimers, aLog, std::move(aHandlers)))
{
}

gpLogServiceStreams::~gpLogServiceStreams() = default;

void
gpLogServiceStreams::Start()
{
  Impl* impl = impl_.get();
  impl->log_.Follow(
    kConfigurationStream,
    gpLogOffset(0),
    [impl](const gpLogBatch& aBatch) { impl->OnConfigurationBatch(aBatch); },
    [](const absl::Status&) {});
  impl->log_.Follow(
    kRosterStream,
    gpLogOffset(0),
    [impl](const gpLogBatch& aBatch) { impl->OnRosterBatch(aBatch); },
    [impl](const absl::Status& aStatus) { impl->OnHealth(aStatus); },
    [impl] { impl->handlers_.contact_(); });
}

void
gpLogServiceStreams::PublishCheckpoints(std::uint64_t aSeed)
{
  impl_->generator_.seed(aSeed);
  impl_->ScheduleCheckpoint();
  impl_->PublishDueCheckpoints();
}

bool
gpLogServiceStreams::IsRosterRead() const
{
  return impl_->rosterRead_;
}

bool
gpLogServiceStreams::IsLogAvailable() const
{
  return impl_->isLogAvailable_;
}

const gpVersionedConfiguration&
gpLogServiceStreams::GetConfiguration() const
{
  return impl_->configuration_.GetState();
}

const gpRoster&
gpLogServiceStreams::GetRoster() const
{
  return impl_->roster_.GetState();
}

void
gpLogServiceStreams::Adopt(const gpConfigurationUpdate& aUpdate)
{
  // An update that can't be parsed comes from a faulty peer and is ignored.
  const auto adopted = impl_->configuration_.Adopt(aUpdate);
  if (adopted.ok() && *adopted) {
    impl_->ReportConfiguration();
  }
}

void
gpLogServiceStreams::Adopt(const gpRosterUpdate& aUpdate)
{
  impl_->roster_.Adopt(aUpdate);
}

std::optional<gpConfigurationUpdate>
gpLogServiceStreams::MakeConfigurationUpdate() const
{
  return impl_->configuration_.MakeUpdate();
}

std::optional<gpRosterUpdate>
gpLogServiceStreams::MakeRosterUpdate() const
{
  return impl_->roster_.MakeUpdate();
}

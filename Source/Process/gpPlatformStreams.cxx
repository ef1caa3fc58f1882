#include "gpPlatformStreams.h"

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
/// Shortest time between two checkpoints of one process. The longest is twice
/// that; the log must keep records for longer.
constexpr gpMillis kCheckpointPeriod{ 600000 };
/// Records after which a checkpoint is due earlier.
constexpr std::uint64_t kCheckpointRecords = 200;
constexpr gpMillis kCheckpointLook{ 1000 };

} // namespace

struct gpPlatformStreams::Impl
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

  /// Only the newest version of a batch is put in force.
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
    available_ = aStatus.ok();
    handlers_.health_(aStatus);
  }

  void ScheduleCheckpoint()
  {
    boost::random::uniform_int_distribution<std::int64_t> pick(
      0, kCheckpointPeriod.count());
    nextCheckpoint_ =
      gpEventLoop::Now() + kCheckpointPeriod + gpMillis(pick(generator_));
  }

  void LookAtCheckpoints()
  {
    const bool isTime = gpEventLoop::Now() >= nextCheckpoint_;
    Checkpoint(configuration_, kConfigurationStream, isTime, configurationAt_);
    Checkpoint(roster_, kRosterStream, isTime, rosterAt_);
    if (isTime) {
      ScheduleCheckpoint();
    }
    timers_.Subscribe(gpEventLoop::Now() + kCheckpointLook,
                      [this] { LookAtCheckpoints(); });
  }

  /// Appends a checkpoint if the stream has grown since the last one.
  template<typename Stream>
  void Checkpoint(Stream& aStream,
                  const char* aName,
                  bool aIsTime,
                  std::uint64_t& aDueAt)
  {
    const auto asOf = aStream.AsOf();
    if (!asOf.has_value() || !aStream.IsCurrent()) {
      return;
    }
    const std::uint64_t next = asOf->value_ + 1;
    const std::uint64_t from = aStream.RecoverableFrom().value_;
    // Processes draw different numbers of records, so that mostly one of them
    // publishes and the others see its checkpoint first.
    const bool isLong = next > from + kCheckpointRecords + aDueAt;
    if (!isLong && !(aIsTime && next > from)) {
      return;
    }
    boost::random::uniform_int_distribution<std::uint64_t> pick(
      0, kCheckpointRecords);
    aDueAt = pick(generator_);
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
  bool available_ = false;
  std::mt19937_64 generator_;
  gpTime nextCheckpoint_;
  /// Records beyond kCheckpointRecords after which a checkpoint is due.
  std::uint64_t configurationAt_ = 0;
  std::uint64_t rosterAt_ = 0;
};

gpPlatformStreams::gpPlatformStreams(gpTimerService& aTimers,
                                     gpLogClient& aLog,
                                     Handlers aHandlers)
  : impl_(std::make_unique<Impl>(aTimers, aLog, std::move(aHandlers)))
{
}

gpPlatformStreams::~gpPlatformStreams() = default;

void
gpPlatformStreams::Start()
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
gpPlatformStreams::PublishCheckpoints(std::uint64_t aSeed)
{
  impl_->generator_.seed(aSeed);
  impl_->ScheduleCheckpoint();
  impl_->LookAtCheckpoints();
}

bool
gpPlatformStreams::IsRosterRead() const
{
  return impl_->rosterRead_;
}

bool
gpPlatformStreams::IsLogAvailable() const
{
  return impl_->available_;
}

const gpVersionedConfiguration&
gpPlatformStreams::GetConfiguration() const
{
  return impl_->configuration_.GetState();
}

const gpRoster&
gpPlatformStreams::GetRoster() const
{
  return impl_->roster_.GetState();
}

void
gpPlatformStreams::Adopt(const gpConfigurationNews& aNews)
{
  // News that can't be read came from a faulty peer; what's in force stays.
  const auto adopted = impl_->configuration_.Adopt(aNews);
  if (adopted.ok() && *adopted) {
    impl_->ReportConfiguration();
  }
}

void
gpPlatformStreams::Adopt(const gpRosterNews& aNews)
{
  impl_->roster_.Adopt(aNews);
}

std::optional<gpConfigurationNews>
gpPlatformStreams::MakeConfigurationNews() const
{
  return impl_->configuration_.MakeNews();
}

std::optional<gpRosterNews>
gpPlatformStreams::MakeRosterNews() const
{
  return impl_->roster_.MakeNews();
}

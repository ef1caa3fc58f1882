#include "gpRosterWriter.h"

#include <optional>
#include <set>
#include <utility>

#include "gpEventLoop.h"
#include "gpLogClient.h"
#include "gpLogServiceStreams.h"
#include "gpRosterRecord.h"
#include "gpTimerService.h"

namespace {

const char* const kRosterStream = "roster";
constexpr gpMillis kAppendTimeout{ 3000 };
/// Pause before a join or removal that isn't in force yet is appended again.
constexpr gpMillis kRetryPause{ 1000 };
/// Period in which it's checked whether the roster has been read to its end.
constexpr gpMillis kRosterCheckPause{ 20 };

} // namespace

struct gpRosterWriter::Impl
{
  Impl(gpTimerService& aTimers,
       gpLogClient& aLog,
       const gpLogServiceStreams& aStreams)
    : timers_(aTimers)
    , log_(aLog)
    , streams_(aStreams)
  {
  }

  ~Impl() { timers_.Cancel(timer_); }

  void Schedule(gpMillis aPause)
  {
    timers_.Cancel(timer_);
    timer_ =
      timers_.Subscribe(gpEventLoop::Now() + aPause, [this] { Continue(); });
  }

  void Continue()
  {
    const auto& members = streams_.GetRoster().members_;
    if (join_.has_value() && members.contains(join_->guard_)) {
      join_.reset();
    }
    std::erase_if(removals_, [&](gpIncarnation aGuard) {
      return !members.contains(aGuard);
    });
    if (!join_.has_value() && removals_.empty()) {
      return;
    }
    if (!streams_.IsRosterRead()) {
      Schedule(kRosterCheckPause);
      return;
    }
    if (join_.has_value()) {
      Append(gpRenderJoin(*join_));
    }
    if (!removals_.empty()) {
      Append(gpRenderRemove({ removals_.begin(), removals_.end() }));
    }
    Schedule(kRetryPause);
  }

  void Append(std::string aRecord)
  {
    // The reply isn't needed: the roster shows whether the record was written.
    log_.Append(kRosterStream,
                std::move(aRecord),
                kAppendTimeout,
                [](const absl::StatusOr<gpLogOffset>&) {});
  }

  gpTimerService& timers_;
  gpLogClient& log_;
  const gpLogServiceStreams& streams_;
  std::optional<gpMember> join_;
  std::set<gpIncarnation> removals_;
  gpTimerId timer_;
};

gpRosterWriter::gpRosterWriter(gpTimerService& aTimers,
                               gpLogClient& aLog,
                               const gpLogServiceStreams& aStreams)
  : impl_(std::make_unique<Impl>(aTimers, aLog, aStreams))
{
}

gpRosterWriter::~gpRosterWriter() = default;

void
gpRosterWriter::Join(gpMember aMember)
{
  impl_->join_ = std::move(aMember);
  impl_->Continue();
}

void
gpRosterWriter::Remove(const std::vector<gpIncarnation>& aGuards)
{
  for (const gpIncarnation guard : aGuards) {
    impl_->removals_.insert(guard);
    if (impl_->join_.has_value() && impl_->join_->guard_ == guard) {
      impl_->join_.reset();
    }
  }
  impl_->Continue();
}

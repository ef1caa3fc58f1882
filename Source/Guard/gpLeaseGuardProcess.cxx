#include "gpLeaseGuardProcess.h"

#include <utility>

#include "gpLeaseLogEvents.h"
#include "gpServerLimits.h"
#include "gpTargetRecord.h"

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
/// Period in which the next entry in turn is asked for a newer configuration.
constexpr gpMillis kUpdateRequestPeriod{ 1000 };

} // namespace

gpLeaseGuardProcess::gpLeaseGuardProcess(
  const gpLeaseSettings& aSettings,
  std::unique_ptr<gpAnnouncementPort> aAnnouncements,
  const MakeTarget& aMakeTarget,
  const MakeStore& aMakeStore)
  : gpLeaseNode(aSettings,
                gpRole::Guard,
                gpMakeLeaseLinkHandlers(
                  *this,
                  [this](auto aInput) { Reduce(std::move(aInput)); }),
                { [this] { return reducer_->GetStatus().takesWork_; },
                  [this] { return StatusFields(); } })
  , settings_(aSettings)
  , announcementPort_(std::move(aAnnouncements))
  , targetPort_(aMakeTarget(httpClient_))
  , store_(aMakeStore(httpClient_))
  , targetRecord_(
      timers_,
      *store_,
      gpStoreTopic::Targets,
      aSettings.name_,
      [this](const absl::Status& aStatus) { WriteStoreFailure(aStatus); })
  , heartbeatServer_(
      loop_,
      gpMakeClientPortLimits(aSettings.limits_),
      { [this](gpRequestId aRequest, const gpHttpRequest& aHttp) {
         OnRequest(aRequest, aHttp);
       },
        [](gpRequestId) {},
        MakeLimitHandler("target") })
{
}

absl::Status
gpLeaseGuardProcess::Open()
{
  absl::Status status = OpenNode();
  if (!status.ok()) {
    return status;
  }
  gpLeaseGuardOptions options;
  options.name_ = settings_.name_;
  options.service_ = settings_.service_;
  options.dataCentre_ = settings_.site_.dataCentre_;
  options.fence_ = FirstNumber();
  options.shutdown_ = GetShutdownTime();
  reducer_ = std::make_unique<gpLeaseGuardReducer>(std::move(options));
  loop_.OnTerminate([this] { Reduce(gpShutdownRequested{}); });
  const auto announced = heartbeatServer_.Listen(settings_.targetListen_);
  if (!announced.ok()) {
    return announced.status();
  }
  NoteListening("target", *announced);
  Reduce(gpEntriesFound{ settings_.entries_ });
  RequestUpdatesInTurn(kUpdateRequestPeriod);
  ReadTargetRecord();
  return status;
}

void
gpLeaseGuardProcess::ReadTargetRecord()
{
  store_->ReadKey(
    gpStoreTopic::Targets,
    settings_.name_,
    [this](const absl::StatusOr<gpStoreRecord>& aRecord) {
      const auto record = aRecord.ok()
                            ? gpParseTargetRecord(aRecord->value_)
                            : absl::StatusOr<gpTargetRecord>(aRecord.status());
      if (record.ok()) {
        Reduce(gpTargetRecordRead{ *record });
        return;
      }
      // The next heartbeat of the target tells the same.
      if (gpErrorCodeOf(record.status()) != gpErrorCode::NotFound) {
        WriteStoreFailure(record.status());
      }
    });
}

void
gpLeaseGuardProcess::WriteStoreFailure(const absl::Status& aStatus)
{
  Write(gpProcessLogEvent(gpEventKind::LogUnavailable,
                          "record of the target: " + gpErrorText(aStatus)));
}

void
gpLeaseGuardProcess::CloseServers(std::function<void()> aClosed)
{
  heartbeatServer_.Drain(std::move(aClosed));
}

void
gpLeaseGuardProcess::OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  absl::StatusOr<gpAnnouncementCall> call = announcementPort_->Parse(aHttp);
  gpHttpResponse response;
  response.body_ = "{}";
  if (!call.ok()) {
    const gpErrorCode code = gpErrorCodeOf(call.status());
    NoteBadInput(call.status());
    response.status_ = code == gpErrorCode::NotFound ? kNotFound : kBadRequest;
    heartbeatServer_.Respond(aRequest, std::move(response));
    return;
  }
  heartbeatServer_.Respond(aRequest, std::move(response));
  std::visit([this](auto& aCall) { Reduce(std::move(aCall)); }, *call);
}

void
gpLeaseGuardProcess::OnEntriesFound(std::vector<gpAddress> aEntries)
{
  Reduce(gpEntriesFound{ std::move(aEntries) });
}

std::string
gpLeaseGuardProcess::StatusFields() const
{
  const gpLeaseGuardStatus status = reducer_->GetStatus();
  return R"(,"runs":)" + std::to_string(status.runs_) + R"(,"entries":)" +
         std::to_string(status.entries_) + R"(,"target_known":)" +
         (status.targetKnown_ ? "true" : "false") + R"(,"takes_work":)" +
         (status.takesWork_ ? "true" : "false");
}

template<typename Input>
void
gpLeaseGuardProcess::Reduce(Input aInput)
{
  if constexpr (std::is_same_v<Input, gpMessageReceived>) {
    if (auto* update = std::get_if<gpConfigurationUpdate>(&aInput.message_)) {
      // Stored for entries that start while the store is unavailable.
      KeepConfiguration(std::move(*update));
      return;
    }
  }
  gpLeaseGuardEvent event;
  event.now_ = gpEventLoop::Now();
  event.input_ = std::move(aInput);
  for (gpLeaseEffect& effect : reducer_->Reduce(event)) {
    Execute(effect);
  }
}

void
gpLeaseGuardProcess::Execute(gpLeaseEffect& aEffect)
{
  const auto reduce = [this](auto aReply) { Reduce(std::move(aReply)); };
  if (gpLeaseNode::Execute(aEffect, [this] { Reduce(gpTimePassed{}); })) {
    return;
  }
  if (const auto* start = std::get_if<gpStartRun>(&aEffect)) {
    targetPort_->Start(*start, reduce);
  } else if (const auto* stop = std::get_if<gpStopRun>(&aEffect)) {
    targetPort_->Stop(*stop, reduce);
  } else if (const auto* poll = std::get_if<gpPollTarget>(&aEffect)) {
    targetPort_->Poll(*poll, reduce);
  } else if (const auto* call = std::get_if<gpIdentifyTarget>(&aEffect)) {
    targetPort_->Identify(*call, reduce);
  } else if (const auto* record = std::get_if<gpStoreTargetRecord>(&aEffect)) {
    targetRecord_.Write(gpRenderTargetRecord(record->record_));
  }
}

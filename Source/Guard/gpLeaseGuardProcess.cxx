#include "gpLeaseGuardProcess.h"

#include <utility>

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
/// Period in which one entry is asked whether it has a newer configuration.
constexpr gpMillis kAskPeriod{ 1000 };

} // namespace

gpLeaseGuardProcess::gpLeaseGuardProcess(
  const gpLeaseSettings& aSettings,
  std::unique_ptr<gpAnnouncementPort> aAnnouncements,
  const MakeTarget& aMakeTarget)
  : gpLeaseNode(aSettings,
                gpRole::Guard,
                gpMakeLeaseLinkHandlers(
                  *this,
                  [this](auto aInput) { Reduce(std::move(aInput)); }),
                { [this] { return reducer_->GetStatus().takesWork_; },
                  [this] { return StatusFields(); } })
  , settings_(aSettings)
  , announcements_(std::move(aAnnouncements))
  , target_(aMakeTarget(httpClient_))
  , announced_(loop_,
               gpHttpLimits{},
               { [this](gpRequestId aRequest, const gpHttpRequest& aHttp) {
                  OnRequest(aRequest, aHttp);
                },
                 [](gpRequestId) {} })
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
  const auto announced = announced_.Listen(settings_.targetListen_);
  if (!announced.ok()) {
    return announced.status();
  }
  NoteListening("target", *announced);
  Reduce(gpEntriesFound{ settings_.entries_ });
  AskForNewsInTurn(kAskPeriod);
  return status;
}

void
gpLeaseGuardProcess::CloseServers(std::function<void()> aClosed)
{
  announced_.Drain(std::move(aClosed));
}

void
gpLeaseGuardProcess::OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  absl::StatusOr<gpAnnouncementCall> call = announcements_->Parse(aHttp);
  gpHttpResponse response;
  response.body_ = "{}";
  if (!call.ok()) {
    const gpErrorCode code = gpErrorCodeOf(call.status());
    NoteBadInput(code);
    response.status_ = code == gpErrorCode::NotFound ? kNotFound : kBadRequest;
    announced_.Respond(aRequest, std::move(response));
    return;
  }
  announced_.Respond(aRequest, std::move(response));
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
    if (auto* news = std::get_if<gpConfigurationNews>(&aInput.message_)) {
      // Kept for entries that start while the store is away.
      KeepNews(std::move(*news));
      return;
    }
  }
  gpLeaseGuardEvent event;
  event.now_ = gpEventLoop::Now();
  event.input_ = std::move(aInput);
  for (gpLeaseEffect& effect : reducer_->Reduce(event)) {
    Carry(effect);
  }
}

void
gpLeaseGuardProcess::Carry(gpLeaseEffect& aEffect)
{
  const auto reduce = [this](auto aReply) { Reduce(std::move(aReply)); };
  if (gpLeaseNode::Carry(aEffect, [this] { Reduce(gpTimePassed{}); })) {
    return;
  }
  if (const auto* start = std::get_if<gpStartRun>(&aEffect)) {
    target_->Start(*start, reduce);
  } else if (const auto* stop = std::get_if<gpStopRun>(&aEffect)) {
    target_->Stop(*stop, reduce);
  } else if (const auto* look = std::get_if<gpLookAtTarget>(&aEffect)) {
    target_->Look(*look, reduce);
  }
}

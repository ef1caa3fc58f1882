#include "gpGuardProcess.h"

#include <utility>

#include "gpAnnouncement.h"
#include "gpReducerHandlers.h"

namespace {

/// Most connections to the target. Further calls wait in the guard until a
/// connection is free.
constexpr std::size_t kTargetConnections = 64;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

gpProcessOptions
MakeOptions(const gpGuardSettings& aSettings)
{
  gpProcessOptions options;
  options.role_ = gpRole::Guard;
  options.name_ = aSettings.name_;
  options.httpListen_ = aSettings.httpListen_;
  options.linkListen_ = aSettings.linkListen_;
  options.linkAdvertise_ = aSettings.linkAdvertise_;
  options.logService_ = aSettings.logService_;
  options.eventLog_ = aSettings.eventLog_;
  options.timings_ = aSettings.timings_;
  options.limits_ = aSettings.limits_;
  return options;
}

gpMember
MakeMember(const gpGuardSettings& aSettings, const gpPeer& aSelf)
{
  gpMember member;
  member.guard_ = aSelf.incarnation_;
  member.address_ = aSelf.address_;
  member.region_ = aSettings.site_.region_;
  member.dataCentre_ = aSettings.site_.dataCentre_;
  member.rack_ = aSettings.site_.rack_;
  return member;
}

gpHttpRequest
MakeTargetRequest(const gpStart& aStart)
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = aStart.path_;
  request.headers_["content-type"] = "application/json";
  request.headers_["gypsumpoint-submission"] =
    aStart.key_.has_value() ? aStart.key_->value_
                            : gpJobIdText(aStart.task_.job_);
  request.headers_["gypsumpoint-task"] =
    std::to_string(aStart.task_.task_.value_);
  request.headers_["gypsumpoint-remaining-ms"] =
    std::to_string(aStart.remaining_.count());
  request.body_ = aStart.body_;
  return request;
}

} // namespace

gpGuardProcess::gpGuardProcess(const gpGuardSettings& aSettings)
  : settings_(aSettings)
  , process_(MakeOptions(aSettings), kTargetConnections, MakeHandlers())
{
}

absl::Status
gpGuardProcess::Open()
{
  absl::Status status = process_.Open();
  if (!status.ok()) {
    return status;
  }
  reducer_ = std::make_unique<gpGuardReducer>(
    MakeMember(settings_, process_.GetSelf()), settings_.timings_);
  process_.loop_.OnTerminate([this] { Reduce(gpShutdownRequested{}); });
  process_.streams_.Start();
  for (const gpAddress& entry : settings_.entries_) {
    process_.links_.Watch(entry);
  }
  Reduce(gpTimePassed{});
  return status;
}

void
gpGuardProcess::Run()
{
  process_.loop_.Run();
}

gpProcess::Handlers
gpGuardProcess::MakeHandlers()
{
  gpProcess::Handlers handlers = gpMakeReducerHandlers(
    process_, [this](auto aInput) { ReduceIfOpen(std::move(aInput)); });
  handlers.streams_.contact_ = [this] { ReduceIfOpen(gpLogContacted{}); };
  handlers.http_.request_ = [this](gpRequestId aRequest,
                                   const gpHttpRequest& aHttp) {
    OnRequest(aRequest, aHttp);
  };
  handlers.http_.callerDisconnected_ = [this](gpRequestId aRequest) {
    if (leaveRequest_ == aRequest) {
      leaveRequest_.reset();
    }
  };
  return handlers;
}

void
gpGuardProcess::OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  const bool ready = reducer_ && !reducer_->GetStatus().leaving_;
  if (process_.AnswerCommon(aRequest, aHttp, ready, StatusFields())) {
    return;
  }
  if (aHttp.target_ == "/v1/announce" && aHttp.method_ == "POST") {
    OnAnnounce(aRequest, aHttp);
  } else if (aHttp.target_ == "/v1/announce" && aHttp.method_ == "DELETE") {
    OnLeave(aRequest);
  } else {
    gpHttpResponse response;
    response.status_ = kNotFound;
    process_.http_.Respond(aRequest, std::move(response));
  }
}

void
gpGuardProcess::OnAnnounce(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  const auto announced = gpParseAnnouncement(aHttp.body_);
  gpHttpResponse response;
  if (announced.ok()) {
    Reduce(gpTargetAnnounced{
      announced->service_, announced->address_, announced->slots_ });
    response.body_ = "{}";
  } else {
    response.status_ = kBadRequest;
    response.contentType_ = "text/plain";
    response.body_ = gpErrorText(announced.status());
  }
  process_.http_.Respond(aRequest, std::move(response));
}

void
gpGuardProcess::OnLeave(gpRequestId aRequest)
{
  leaveRequest_ = aRequest;
  Reduce(gpTargetLeft{});
  if (isTargetReleased_) {
    gpReleaseTarget again;
    Execute(again);
  }
}

void
gpGuardProcess::OnTargetReply(const gpAttemptId& aAttempt,
                              const gpHttpReply& aReply)
{
  calls_.erase(aAttempt);
  gpTargetReplied replied;
  replied.attempt_ = aAttempt;
  replied.sent_ = aReply.sent_;
  replied.runTime_ = aReply.duration_;
  if (aReply.response_.ok()) {
    process_.metrics_
      .Histogram("gypsumpoint_task_run_seconds",
                 "Time of the target for a task")
      .Observe(aReply.duration_);
    replied.response_ =
      gpTaskResult{ aReply.response_->status_, aReply.response_->body_ };
  }
  Reduce(std::move(replied));
}

std::string
gpGuardProcess::StatusFields() const
{
  if (!reducer_) {
    return "";
  }
  const gpGuardStatus status = reducer_->GetStatus();
  return ",\"in_flight\":" + std::to_string(status.running_) +
         ",\"free_slots\":" + std::to_string(status.freeSlots_) +
         ",\"claims\":" + std::to_string(status.claims_) +
         ",\"start_records\":" + std::to_string(status.startRecords_) +
         ",\"partitions_held\":" + std::to_string(status.partitionsHeld_) +
         ",\"partitions_abstaining\":" +
         std::to_string(status.partitionsAbstaining_) +
         ",\"leaving\":" + (status.leaving_ ? "true" : "false");
}

template<typename Input>
void
gpGuardProcess::Reduce(Input aInput)
{
  gpGuardEvent event;
  event.now_ = gpEventLoop::Now();
  event.input_ = std::move(aInput);
  for (gpEffect& effect : reducer_->Reduce(event)) {
    std::visit([this](auto& aEffect) { Execute(aEffect); }, effect);
  }
}

template<typename Input>
void
gpGuardProcess::ReduceIfOpen(Input aInput)
{
  if (reducer_) {
    Reduce(std::move(aInput));
  }
}

void
gpGuardProcess::Execute(gpSend& aEffect)
{
  process_.Send(aEffect.link_, std::move(aEffect.message_));
}

void
gpGuardProcess::Execute(gpWatchAddress& aEffect)
{
  process_.links_.Watch(aEffect.address_);
}

void
gpGuardProcess::Execute(gpUnwatchAddress& aEffect)
{
  process_.links_.Unwatch(aEffect.address_);
}

void
gpGuardProcess::Execute(gpWakeAt& aEffect)
{
  process_.WakeAt(aEffect.when_, [this] { Reduce(gpTimePassed{}); });
}

void
gpGuardProcess::Execute(gpWriteTimeline& aEffect)
{
  process_.Write(aEffect.event_);
}

void
gpGuardProcess::Execute(gpJoinRoster& aEffect)
{
  process_.rosterWriter_.Join(std::move(aEffect.member_));
}

void
gpGuardProcess::Execute(gpRemoveMembers& aEffect)
{
  process_.rosterWriter_.Remove(aEffect.guards_);
}

void
gpGuardProcess::Execute(gpCallTarget& aEffect)
{
  const gpAttemptId attempt = aEffect.attempt_;
  const gpCallId call =
    process_.httpClient_.Call(aEffect.target_,
                              MakeTargetRequest(aEffect.start_),
                              aEffect.start_.remaining_,
                              [this, attempt](const gpHttpReply& aReply) {
                                OnTargetReply(attempt, aReply);
                              });
  calls_.insert_or_assign(attempt, call);
}

void
gpGuardProcess::Execute(gpAbortCall& aEffect)
{
  const auto found = calls_.find(aEffect.attempt_);
  if (found != calls_.end()) {
    process_.httpClient_.Cancel(found->second);
    calls_.erase(found);
  }
}

void
gpGuardProcess::Execute(gpReleaseTarget&)
{
  isTargetReleased_ = true;
  if (leaveRequest_.has_value()) {
    gpHttpResponse response;
    response.body_ = "{}";
    process_.http_.Respond(*std::exchange(leaveRequest_, std::nullopt),
                           std::move(response));
  }
}

void
gpGuardProcess::Execute(gpStop&)
{
  process_.StopGracefully();
}

#include "gpLeaseEntryProcess.h"

#include <utility>

#include "gpEntryRecord.h"
#include "gpError.h"
#include "gpLeaseLogEvents.h"
#include "gpServerLimits.h"

namespace {

/// Period in which the next peer in turn is asked for a newer configuration.
constexpr gpMillis kUpdateRequestPeriod{ 200 };

} // namespace

gpLeaseEntryProcess::gpLeaseEntryProcess(const gpLeaseSettings& aSettings,
                                         std::unique_ptr<gpJobPort> aJobs,
                                         const MakeStore& aMakeStore)
  : gpLeaseNode(
      aSettings,
      gpRole::Entry,
      gpMakeLeaseLinkHandlers(
        *this,
        [this](auto aInput) {
          using Input = decltype(aInput);
          if constexpr (std::is_same_v<Input, gpLinkOpened>) {
            OnLinkOpened(aInput);
          } else if constexpr (std::is_same_v<Input, gpLinkLost>) {
            OnLinkLost(aInput);
          } else if constexpr (std::is_same_v<Input, gpMessageReceived>) {
            OnMessage(aInput);
          } else {
            Reduce(std::move(aInput));
          }
        }),
      { [this] { return reducer_->GetStatus().ready_; },
        [this] { return StatusFields(); } })
  , settings_(aSettings)
  , jobPort_(std::move(aJobs))
  , store_(aMakeStore(httpClient_))
  , callerServer_(loop_,
                  gpMakeClientPortLimits(aSettings.limits_),
                  { [this](gpRequestId aRequest, const gpHttpRequest& aHttp) {
                     OnRequest(aRequest, aHttp);
                   },
                    [this](gpRequestId aRequest) {
                      receivedAt_.erase(aRequest);
                      Reduce(gpCallerDisconnected{ aRequest });
                    },
                    MakeLimitHandler("callers") })
  , configurationFollower_(
      timers_,
      *store_,
      gpStoreTopic::Configuration,
      { [this](const gpStoreRecord& aRecord) { OnStoreRecord(aRecord); },
        [this](const absl::Status& aStatus) { NoteLogHealth(aStatus); },
        [this](const absl::Status& aStatus) { NoteBadInput(aStatus); } })
  , entriesFollower_(
      timers_,
      *store_,
      gpStoreTopic::Entries,
      { [this](const gpStoreRecord& aRecord) { OnEntryRecord(aRecord); },
        [](const absl::Status&) {},
        [this](const absl::Status& aStatus) { NoteBadInput(aStatus); } })
  , registration_(timers_,
                  *store_,
                  gpStoreTopic::Entries,
                  aSettings.name_,
                  // The follower of the configuration logs the store's health.
                  [](const absl::Status&) {})
{
}

absl::Status
gpLeaseEntryProcess::Open()
{
  absl::Status status = OpenNode();
  if (!status.ok()) {
    return status;
  }
  gpLeaseEntryOptions options;
  options.self_ = MakeSelf();
  options.firstRun_ = FirstNumber();
  options.shutdown_ = GetShutdownTime();
  options.mostTasks_ = settings_.limits_.tasks_;
  reducer_ = std::make_unique<gpLeaseEntryReducer>(std::move(options));
  loop_.OnTerminate([this] { Reduce(gpShutdownRequested{}); });
  const auto callers = callerServer_.Listen(settings_.callersListen_);
  if (!callers.ok()) {
    return callers.status();
  }
  NoteListening("callers", *callers);
  Reduce(gpEntriesFound{ settings_.entries_ });
  configurationFollower_.Start();
  entriesFollower_.Start();
  RequestUpdatesInTurn(kUpdateRequestPeriod);
  registration_.Write(gpRenderEntryRecord(MakeSelf()));
  return status;
}

gpKnownEntry
gpLeaseEntryProcess::MakeSelf() const
{
  return { GetSelf().address_,
           settings_.site_.dataCentre_,
           settings_.milliCores_ };
}

void
gpLeaseEntryProcess::CloseServers(std::function<void()> aClosed)
{
  callerServer_.Drain(std::move(aClosed));
}

void
gpLeaseEntryProcess::OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  absl::StatusOr<gpJobCall> call = jobPort_->Parse(aHttp);
  if (!call.ok()) {
    NoteBadInput(gpErrorCodeOf(call.status()));
    callerServer_.Respond(aRequest, jobPort_->RenderError(call.status()));
    return;
  }
  std::visit([&](auto& aCall) { OnCall(aRequest, std::move(aCall)); }, *call);
}

void
gpLeaseEntryProcess::OnCall(gpRequestId aRequest, gpLeaseJob aJob)
{
  if (callerServer_.IsCallerDisconnected(aRequest)) {
    // The caller may have submitted the job to another entry already.
    DropJob(aRequest, aJob.id_);
    return;
  }
  receivedAt_.insert_or_assign(aRequest, gpEventLoop::Now());
  Reduce(gpLeaseJobSubmitted{ aRequest, std::move(aJob) });
}

void
gpLeaseEntryProcess::DropJob(gpRequestId aRequest, const std::string& aJob)
{
  Write(gpJobLogEvent(gpEventKind::CallerGone,
                      gpServiceName(),
                      aJob,
                      "before its job was admitted"));
  callerServer_.Abort(aRequest);
}

bool
gpLeaseEntryProcess::RefuseUnknown(gpRequestId aRequest,
                                   const std::string& aHost,
                                   const std::string& aPath)
{
  const gpQueueTable& queues = reducer_->GetQueues();
  if (queues.Find(aHost, aPath) != nullptr) {
    return false;
  }
  gpLeaseAnswer answer;
  if (queues.version_ == gpConfigVersion()) {
    answer.reason_ = gpLeaseReason::NoConfiguration;
  } else {
    answer.outcome_ = gpLeaseOutcome::NoQueue;
  }
  callerServer_.Respond(aRequest, jobPort_->Render(answer));
  return true;
}

void
gpLeaseEntryProcess::OnCall(gpRequestId aRequest, const gpJobStateCall& aCall)
{
  if (!RefuseUnknown(aRequest, aCall.host_, aCall.path_)) {
    callerServer_.Respond(aRequest,
                          jobPort_->RenderState(reducer_->HasJob(aCall.id_)));
  }
}

void
gpLeaseEntryProcess::OnCall(gpRequestId aRequest, const gpJobCancelCall& aCall)
{
  const bool isKnown = reducer_->HasJob(aCall.id_);
  Reduce(gpLeaseJobCancelled{ aCall.id_ });
  callerServer_.Respond(aRequest, jobPort_->RenderCancelled(isKnown));
}

void
gpLeaseEntryProcess::OnCall(gpRequestId aRequest, const gpPendingCall& aCall)
{
  if (RefuseUnknown(aRequest, aCall.host_, aCall.path_)) {
    return;
  }
  const gpQueue* queue = reducer_->GetQueues().Find(aCall.host_, aCall.path_);
  callerServer_.Respond(
    aRequest, jobPort_->RenderPending(reducer_->CountPending(queue->name_)));
}

void
gpLeaseEntryProcess::OnLinkOpened(const gpLinkOpened& aEvent)
{
  peers_.insert_or_assign(aEvent.link_, aEvent.peer_);
  Reduce(aEvent);
}

void
gpLeaseEntryProcess::OnLinkLost(const gpLinkLost& aEvent)
{
  peers_.erase(aEvent.link_);
  Reduce(aEvent);
}

void
gpLeaseEntryProcess::OnMessage(const gpMessageReceived& aEvent)
{
  if (const auto* update =
        std::get_if<gpConfigurationUpdate>(&aEvent.message_)) {
    // All peers send it, and parsing a large text takes long.
    if (IsNewer(update->version_)) {
      AdoptConfiguration(update->text_);
    }
    return;
  }
  Reduce(aEvent);
}

void
gpLeaseEntryProcess::OnStoreRecord(const gpStoreRecord& aRecord)
{
  if (store_->HoldsQueues(aRecord)) {
    AdoptConfiguration(aRecord.value_);
  }
}

void
gpLeaseEntryProcess::AdoptConfiguration(const std::string& aText)
{
  absl::StatusOr<gpQueueTable> queues = store_->ParseQueues(aText);
  if (!queues.ok()) {
    gpTimelineEvent event;
    event.kind_ = gpEventKind::ConfigurationRejected;
    event.detail_ = gpErrorText(queues.status());
    Write(event);
    return;
  }
  gpConfigurationUpdate update;
  update.version_ = queues->version_;
  update.text_ = aText;
  if (!KeepConfiguration(update)) {
    return;
  }
  Reduce(gpQueuesChanged{ std::move(*queues) });
  // Other entries may be unable to reach the store, or read it later. Guards
  // are not sent the update but ask for it: there are many of them, and they
  // only store it.
  for (const auto& [link, peer] : peers_) {
    if (peer.role_ == gpRole::Entry) {
      Send(link, update);
    }
  }
}

void
gpLeaseEntryProcess::OnEntryRecord(const gpStoreRecord& aRecord)
{
  if (aRecord.value_.empty()) {
    return;
  }
  const absl::StatusOr<gpKnownEntry> entry = gpParseEntryRecord(aRecord.value_);
  if (entry.ok()) {
    gpEntryUpdate update;
    update.entries_.push_back(*entry);
    Reduce(gpMessageReceived{ gpLinkId(), std::move(update) });
  } else {
    NoteBadInput(gpMakeError(gpErrorCode::BadRecord,
                             "entry " + aRecord.key_ + ": " +
                               gpErrorText(entry.status())));
  }
}

void
gpLeaseEntryProcess::OnEntriesFound(std::vector<gpAddress> aEntries)
{
  Reduce(gpEntriesFound{ std::move(aEntries) });
}

std::string
gpLeaseEntryProcess::StatusFields() const
{
  const gpLeaseEntryStatus status = reducer_->GetStatus();
  return R"(,"jobs":)" + std::to_string(status.jobs_) + R"(,"waiting":)" +
         std::to_string(status.waiting_) + R"(,"guards":)" +
         std::to_string(status.guards_) + R"(,"entries":)" +
         std::to_string(status.entries_) + R"(,"targets_looked_at":)" +
         std::to_string(status.targetsConsidered_) + R"(,"behind_ms":)" +
         std::to_string(status.loopLag_.count());
}

template<typename Input>
void
gpLeaseEntryProcess::Reduce(Input aInput)
{
  gpLeaseEntryEvent event;
  event.now_ = gpEventLoop::Now();
  event.input_ = std::move(aInput);
  for (gpLeaseEffect& effect : reducer_->Reduce(event)) {
    Execute(effect);
  }
}

void
gpLeaseEntryProcess::Execute(gpLeaseEffect& aEffect)
{
  if (gpLeaseNode::Execute(aEffect, [this] { Reduce(gpTimePassed{}); })) {
    return;
  }
  if (std::holds_alternative<gpCloseCallerConnections>(aEffect)) {
    callerServer_.CloseAfterAnswers();
    return;
  }
  const auto* answer = std::get_if<gpAnswerLeaseJob>(&aEffect);
  if (answer == nullptr) {
    return; // an effect that only guards have
  }
  if (answer->answer_.reason_ == gpLeaseReason::TooManyTasks) {
    NoteLimit("callers", "tasks");
  }
  const auto received = receivedAt_.find(answer->request_);
  if (received != receivedAt_.end()) {
    metrics_
      .Histogram(
        "gypsumpoint_response_seconds",
        "Time from a submission to its answer",
        { { "outcome", gpLeaseOutcomeName(answer->answer_.outcome_) } })
      .Observe(gpEventLoop::Now() - received->second);
    receivedAt_.erase(received);
  }
  callerServer_.Respond(answer->request_, jobPort_->Render(answer->answer_));
}

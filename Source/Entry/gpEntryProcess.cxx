#include "gpEntryProcess.h"

#include <optional>
#include <utility>

#include "gpJobJson.h"
#include "gpLookupRequest.h"
#include "gpReducerHandlers.h"

namespace {

constexpr std::size_t kLogConnections = 8;
constexpr int kParserThreads = 2;
constexpr int kNotFound = 404;
/// Bodies up to this size are parsed in the thread of the event loop, since
/// passing them to another thread would take longer.
constexpr std::size_t kMaxInlineBody = 4096;

gpProcessOptions
MakeOptions(const gpEntrySettings& aSettings)
{
  gpProcessOptions options;
  options.role_ = gpRole::Entry;
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

gpHttpResponse
ToHttp(gpRenderedAnswer aAnswer)
{
  return gpHttpResponse{ aAnswer.status_,
                         std::move(aAnswer.contentType_),
                         std::move(aAnswer.headers_),
                         std::move(aAnswer.body_) };
}

std::string
OutcomeOf(const gpAnswer& aAnswer)
{
  const auto* failure = std::get_if<gpFailure>(&aAnswer);
  return failure == nullptr ? "complete"
                            : std::string(gpOutcomeName(failure->outcome_));
}

absl::StatusOr<gpSubmission>
ParseRequest(const gpHttpRequest& aHttp)
{
  std::optional<std::string> key;
  const auto header = aHttp.headers_.find("idempotency-key");
  if (header != aHttp.headers_.end()) {
    key = header->second;
  }
  return gpParseSubmission(aHttp.body_, key);
}

} // namespace

gpEntryProcess::gpEntryProcess(const gpEntrySettings& aSettings)
  : timings_(aSettings.timings_)
  , process_(MakeOptions(aSettings), kLogConnections, MakeHandlers())
  , parserPool_(process_.loop_, kParserThreads)
{
}

absl::Status
gpEntryProcess::Open()
{
  absl::Status status = process_.Open();
  if (!status.ok()) {
    return status;
  }
  const gpPeer& self = process_.GetSelf();
  reducer_ =
    std::make_unique<gpEntryReducer>(self, timings_, self.incarnation_.value_);
  process_.loop_.OnTerminate([this] { Reduce(gpShutdownRequested{}); });
  process_.streams_.Start();
  process_.streams_.PublishCheckpoints(self.incarnation_.value_);
  Reduce(gpTimePassed{});
  return status;
}

void
gpEntryProcess::Run()
{
  process_.loop_.Run();
}

gpProcess::Handlers
gpEntryProcess::MakeHandlers()
{
  gpProcess::Handlers handlers = gpMakeReducerHandlers(
    process_, [this](auto aInput) { ReduceIfOpen(std::move(aInput)); });
  handlers.http_.request_ = [this](gpRequestId aRequest, gpHttpRequest aHttp) {
    OnRequest(aRequest, std::move(aHttp));
  };
  handlers.http_.callerDisconnected_ = [this](gpRequestId aRequest) {
    receivedAt_.erase(aRequest);
    ReduceIfOpen(gpCallerDisconnected{ aRequest });
  };
  return handlers;
}

void
gpEntryProcess::OnRequest(gpRequestId aRequest, gpHttpRequest aHttp)
{
  const bool ready = reducer_ && reducer_->GetStatus().ready_;
  if (process_.AnswerCommon(aRequest, aHttp, ready, StatusFields())) {
    return;
  }
  if (aHttp.method_ == "POST" && aHttp.target_ == "/v1/jobs") {
    OnSubmission(aRequest, std::move(aHttp));
  } else if (aHttp.method_ == "GET" &&
             gpParseLookupRequest(aHttp.target_).has_value()) {
    OnLookup(aRequest, aHttp);
  } else {
    gpHttpResponse response;
    response.status_ = kNotFound;
    response.contentType_ = "application/problem+json";
    response.body_ = R"({"type":"about:blank","title":"no such resource",)"
                     R"("status":404})";
    process_.http_.Respond(aRequest, std::move(response));
  }
}

void
gpEntryProcess::OnSubmission(gpRequestId aRequest, gpHttpRequest aHttp)
{
  receivedAt_.insert_or_assign(aRequest, gpEventLoop::Now());
  using Parsed = absl::StatusOr<gpSubmission>;
  const auto parsed = std::make_shared<Parsed>(absl::UnknownError(""));
  const auto finish = [this, aRequest, parsed] {
    if (parsed->ok()) {
      Reduce(gpJobSubmitted{ aRequest, std::move(**parsed) });
      return;
    }
    receivedAt_.erase(aRequest);
    process_.NoteBadInput(gpErrorCodeOf(parsed->status()));
    process_.http_.Respond(
      aRequest,
      ToHttp(gpRenderFault(gpRequestFault::BadRequest,
                           gpErrorText(parsed->status()))));
  };
  if (aHttp.body_.size() <= kMaxInlineBody) {
    *parsed = ParseRequest(aHttp);
    finish();
    return;
  }
  parserPool_.Submit(
    [parsed, http = std::move(aHttp)] { *parsed = ParseRequest(http); },
    finish);
}

void
gpEntryProcess::OnLookup(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  const gpLookupRequest lookup = *gpParseLookupRequest(aHttp.target_);
  Reduce(gpJobQueried{ aRequest, lookup.key_, lookup.wait_ });
}

std::string
gpEntryProcess::StatusFields() const
{
  if (!reducer_) {
    return "";
  }
  const gpEntryStatus status = reducer_->GetStatus();
  return ",\"jobs\":" + std::to_string(status.jobs_) +
         ",\"waiting\":" + std::to_string(status.waiting_) +
         ",\"in_flight\":" + std::to_string(status.inFlight_) +
         ",\"linked\":" + std::to_string(status.linked_) +
         ",\"ejected\":" + std::to_string(status.ejected_);
}

template<typename Input>
void
gpEntryProcess::Reduce(Input aInput)
{
  gpEntryEvent event;
  event.now_ = gpEventLoop::Now();
  event.input_ = std::move(aInput);
  for (gpEffect& effect : reducer_->Reduce(event)) {
    std::visit([this](auto& aEffect) { Execute(aEffect); }, effect);
  }
}

template<typename Input>
void
gpEntryProcess::ReduceIfOpen(Input aInput)
{
  if (reducer_) {
    Reduce(std::move(aInput));
  }
}

void
gpEntryProcess::Execute(gpSend& aEffect)
{
  process_.Send(aEffect.link_, std::move(aEffect.message_));
}

void
gpEntryProcess::Execute(gpAnswerCaller& aEffect)
{
  const auto received = receivedAt_.find(aEffect.request_);
  if (received != receivedAt_.end()) {
    process_.metrics_
      .Histogram("gypsumpoint_response_seconds",
                 "Time from a submission to its answer",
                 { { "outcome", OutcomeOf(aEffect.answer_) } })
      .Observe(gpEventLoop::Now() - received->second);
    receivedAt_.erase(received);
  }
  process_.http_.Respond(aEffect.request_,
                         ToHttp(gpRenderAnswer(aEffect.answer_)));
}

void
gpEntryProcess::Execute(gpWatchAddress& aEffect)
{
  process_.links_.Watch(aEffect.address_);
}

void
gpEntryProcess::Execute(gpUnwatchAddress& aEffect)
{
  process_.links_.Unwatch(aEffect.address_);
}

void
gpEntryProcess::Execute(gpWakeAt& aEffect)
{
  process_.WakeAt(aEffect.when_, [this] { Reduce(gpTimePassed{}); });
}

void
gpEntryProcess::Execute(gpWriteTimeline& aEffect)
{
  process_.Write(aEffect.event_);
}

void
gpEntryProcess::Execute(gpRemoveMembers& aEffect)
{
  process_.rosterWriter_.Remove(aEffect.guards_);
}

void
gpEntryProcess::Execute(gpStop&)
{
  process_.StopGracefully();
}

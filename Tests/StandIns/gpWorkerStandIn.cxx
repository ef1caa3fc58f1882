#include "gpWorkerStandIn.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "gpEventLoop.h"

namespace {

constexpr gpMillis kHeartbeatPeriod{ 200 };
constexpr gpMillis kPollPeriod{ 5 };
constexpr int kConflict = 409;
constexpr int kOtherInstance = 421;
constexpr std::uint64_t kMilliCores = 4000;

std::uint64_t
StartTimeMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<gpMillis>(now).count());
}

std::string
RandomId()
{
  std::random_device device;
  return "i-" + std::to_string(device());
}

gpRunId
RunOf(const boost::json::object& aBody)
{
  return { std::string(aBody.at("task").as_string()),
           aBody.at("run").to_number<std::uint64_t>() };
}

std::uint64_t
FenceOf(const boost::json::object& aBody)
{
  const boost::json::value* fence = aBody.if_contains("fence");
  return fence == nullptr ? 0 : fence->to_number<std::uint64_t>();
}

const char*
ReasonOf(gpOrderReply aReply)
{
  switch (aReply) {
    case gpOrderReply::Fence:
      return "fence";
    case gpOrderReply::Outdated:
      return "old";
    case gpOrderReply::Late:
      return "late";
    default:
      return "room";
  }
}

} // namespace

gpWorkerStandIn::gpWorkerStandIn(gpEventLoop& aLoop, gpTimerService& aTimers)
  : timers_(aTimers)
  , server_(aLoop,
            {},
            { [this](gpRequestId aRequest, const gpHttpRequest& aHttp) {
               OnRequest(aRequest, aHttp);
             },
              [](gpRequestId) {} })
  , client_(aLoop, 2)
  , target_(RandomId(), StartTimeMs(), 1.0, gpEventLoop::Now())
{
}

absl::StatusOr<gpAddress>
gpWorkerStandIn::Listen(const gpAddress& aAddress)
{
  absl::StatusOr<gpAddress> address = server_.Listen(aAddress);
  if (address.ok()) {
    address_ = *address;
  }
  return address;
}

absl::Status
gpWorkerStandIn::OpenJournal(const std::string& aFile)
{
  absl::Status status = journal_.Open(aFile);
  if (status.ok()) {
    AdvancePeriodically();
  }
  return status;
}

void
gpWorkerStandIn::AdvancePeriodically()
{
  const gpTime now = gpEventLoop::Now();
  target_.Advance(now);
  NoteEnds();
  timers_.Subscribe(now + kPollPeriod, [this] { AdvancePeriodically(); });
}

void
gpWorkerStandIn::SetGuard(const gpAddress& aGuard)
{
  guard_ = aGuard;
  if (!std::exchange(sendsHeartbeats_, true)) {
    SendHeartbeat();
  }
}

void
gpWorkerStandIn::SendHeartbeat()
{
  gpHttpRequest request;
  request.method_ = "PUT";
  request.target_ = "/v1/instances/" + target_.GetId();
  heartbeat_ = {
    { "service", "ponds" },
    { "address", address_.value_ },
    { "zone", "erie-floor" },
    { "version", "v1" },
    { "slots", 8 },
    { "coldLeftMs", 0 },
    { "state", draining_ ? "draining" : "ready" },
    { "capacity", { { "cpu", kMilliCores }, { "memMb", 1024 }, { "gpu", 0 } } },
    { "labels", { "a", "r1-1" } },
    { "born", target_.GetStartTime() },
    { "clockMs", target_.GetClock(gpEventLoop::Now()) },
    { "sequence", ++sequence_ }
  };
  request.body_ = boost::json::serialize(heartbeat_);
  client_.Call(
    guard_, std::move(request), kHeartbeatPeriod, [](const gpHttpReply&) {});
  timers_.Subscribe(gpEventLoop::Now() + kHeartbeatPeriod,
                    [this] { SendHeartbeat(); });
}

void
gpWorkerStandIn::OnRequest(gpRequestId aRequest, const gpHttpRequest& aHttp)
{
  const boost::json::value parsed = boost::json::parse(aHttp.body_);
  const boost::json::object& body = parsed.as_object();
  const auto expected = aHttp.headers_.find("gypsumpoint-expected-instance");
  if (expected != aHttp.headers_.end() && expected->second != target_.GetId()) {
    server_.Respond(aRequest, MakeOrderResponse(gpOrderReply::OtherTarget));
    return;
  }
  if (aHttp.target_ == "/v1/run-start") {
    gpHttpResponse response = OnStart(body);
    if (loseStarts_ > 0) {
      --loseStarts_;
      return;
    }
    server_.Respond(aRequest, std::move(response));
  } else if (aHttp.target_ == "/v1/run-stop") {
    if (loseStops_ > 0) {
      --loseStops_;
      return;
    }
    server_.Respond(aRequest, OnStop(body));
  } else {
    OnHold(aRequest, body);
  }
}

gpHttpResponse
gpWorkerStandIn::OnStart(const boost::json::object& aBody)
{
  gpStartRun order;
  order.run_ = RunOf(aBody);
  order.fence_ = FenceOf(aBody);
  order.leaseEnd_ = aBody.at("deadlineMs").to_number<std::uint64_t>();
  const boost::json::value spec =
    boost::json::parse(aBody.at("spec").as_string());
  gpSimRun run;
  run.run_ = order.run_;
  run.endsAt_ =
    gpEventLoop::Now() +
    gpMillis(spec.as_object().at("run_ms").to_number<std::int64_t>());
  run.fails_ = spec.as_object().contains("fails");
  const bool isNew = !target_.GetRunning().contains(order.run_);
  const gpOrderReply reply = target_.Start(order, run, gpEventLoop::Now());
  if (reply == gpOrderReply::Accepted && isNew) {
    ++starts_[order.run_.task_];
    journal_.NoteStarted(order.run_, gpEventLoop::Now());
  }
  return MakeOrderResponse(reply);
}

gpHttpResponse
gpWorkerStandIn::OnStop(const boost::json::object& aBody)
{
  gpStopRun order;
  order.run_ = RunOf(aBody);
  order.fence_ = FenceOf(aBody);
  const gpOrderReply reply = target_.Stop(order, gpEventLoop::Now());
  NoteEnds();
  return MakeOrderResponse(reply);
}

gpHttpResponse
gpWorkerStandIn::MakeOrderResponse(gpOrderReply aReply) const
{
  gpHttpResponse response;
  boost::json::object body{ { "clockMs",
                              target_.GetClock(gpEventLoop::Now()) } };
  if (aReply == gpOrderReply::OtherTarget) {
    response.status_ = kOtherInstance;
  } else if (aReply != gpOrderReply::Accepted) {
    response.status_ = kConflict;
    body["reason"] = ReasonOf(aReply);
  }
  response.body_ = boost::json::serialize(body);
  return response;
}

void
gpWorkerStandIn::OnHold(gpRequestId aRequest, const boost::json::object& aBody)
{
  gpPollTarget poll;
  poll.target_ = target_.GetId();
  poll.fence_ = FenceOf(aBody);
  poll.seenEnds_ = aBody.at("ackCursor").to_number<std::uint64_t>();
  if (const auto* end = aBody.if_contains("deadlineMs")) {
    poll.leaseEnd_ = end->to_number<std::uint64_t>();
  }
  if (const auto* wait = aBody.if_contains("waitMs")) {
    poll.wait_ = gpMillis(wait->to_number<std::int64_t>());
  }
  AnswerHold(aRequest, poll);
}

void
gpWorkerStandIn::AnswerHold(gpRequestId aRequest, const gpPollTarget& aPoll)
{
  const gpPollReplied seen = target_.Poll(aPoll, gpEventLoop::Now());
  NoteEnds();
  const bool isAccepted = seen.reply_ == gpOrderReply::Accepted;
  if (isAccepted && seen.ended_.empty() && aPoll.wait_ > gpMillis(0)) {
    gpPollTarget remaining = aPoll;
    remaining.leaseEnd_.reset();
    remaining.wait_ -= std::min(kPollPeriod, remaining.wait_);
    timers_.Subscribe(
      gpEventLoop::Now() + kPollPeriod,
      [this, aRequest, remaining] { AnswerHold(aRequest, remaining); });
    return;
  }
  if (!isAccepted) {
    server_.Respond(aRequest, MakeOrderResponse(seen.reply_));
    return;
  }
  boost::json::array running;
  for (const gpRunId& run : seen.running_) {
    running.push_back({ run.task_, run.number_, "", 0 });
  }
  boost::json::array finished;
  for (const gpEndedRun& end : seen.ended_) {
    finished.push_back({ end.position_,
                         end.run_.task_,
                         end.run_.number_,
                         gpRunEndName(end.end_),
                         "" });
  }
  gpHttpResponse response;
  response.body_ =
    boost::json::serialize(boost::json::object{ { "clockMs", seen.clock_ },
                                                { "born", seen.startTime_ },
                                                { "running", running },
                                                { "finished", finished } });
  server_.Respond(aRequest, std::move(response));
}

boost::json::object
gpWorkerStandIn::Show()
{
  target_.Advance(gpEventLoop::Now());
  boost::json::object starts;
  for (const auto& [task, count] : starts_) {
    starts[task] = count;
  }
  return { { "starts", starts },
           { "running", target_.GetRunning().size() },
           { "id", target_.GetId() },
           { "heartbeat", heartbeat_ } };
}

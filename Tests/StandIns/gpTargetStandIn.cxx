#include "gpTargetStandIn.h"

#include <algorithm>
#include <utility>

#include "gpControlFields.h"
#include "gpEventLoop.h"

namespace {

std::string
HeaderOf(const gpHttpRequest& aRequest, const std::string& aName)
{
  const auto header = aRequest.headers_.find(aName);
  return header == aRequest.headers_.end() ? "" : header->second;
}

} // namespace

gpTargetStandIn::gpTargetStandIn(gpEventLoop& aLoop,
                                 gpTimerService& aTimers,
                                 gpTargetJournal& aJournal,
                                 std::size_t aSlots)
  : timers_(aTimers)
  , journal_(aJournal)
  , slots_(aSlots)
  , server_(aLoop,
            gpHttpLimits(),
            { .request_ =
                [this](gpRequestId aId, const gpHttpRequest& aRequest) {
                  waiting_.push_back(ParseCall(aId, aRequest));
                  StartWaitingCalls();
                },
              .callerDisconnected_ =
                [this](gpRequestId aId) { OnCallerDisconnected(aId); } })
{
}

absl::StatusOr<gpAddress>
gpTargetStandIn::Listen(const gpAddress& aAddress)
{
  return server_.Listen(aAddress);
}

void
gpTargetStandIn::SetBehaviour(const gpTargetBehaviour& aBehaviour)
{
  behaviour_ = aBehaviour;
  if (!behaviour_.hang_) {
    for (Call& call : std::exchange(hung_, {})) {
      End(call.request_, std::move(call.response_));
    }
  }
}

void
gpTargetStandIn::Drain(std::function<void()> aDrained)
{
  drained_ = std::move(aDrained);
  DrainIfIdle();
}

gpTargetStandIn::Call
gpTargetStandIn::ParseCall(gpRequestId aId, const gpHttpRequest& aRequest)
{
  Call call;
  call.request_ = aId;
  call.key_ = HeaderOf(aRequest, "gypsumpoint-submission") + "/" +
              HeaderOf(aRequest, "gypsumpoint-task");
  call.response_.contentType_ = "text/plain";
  call.response_.body_ = call.key_;
  std::uint32_t runMs = 0;
  // If the body is not such an object, the task runs with the defaults.
  gpReadFields(aRequest.body_,
               { { "run_ms", gpReadInto(runMs) },
                 { "answer", gpReadInto(call.response_.body_) },
                 { "status", gpReadInto(call.response_.status_) } })
    .IgnoreError();
  call.runTime_ = gpMillis(runMs);
  return call;
}

void
gpTargetStandIn::OnCallerDisconnected(gpRequestId aId)
{
  ++counts_.cut_;
  // Tasks that have started run to completion; only waiting ones are removed.
  const auto firstRemoved =
    std::remove_if(waiting_.begin(), waiting_.end(), [aId](const Call& aCall) {
      return aCall.request_ == aId;
    });
  waiting_.erase(firstRemoved, waiting_.end());
  DrainIfIdle();
}

void
gpTargetStandIn::StartWaitingCalls()
{
  while (!waiting_.empty() && counts_.running_ < slots_) {
    Call call = std::move(waiting_.front());
    waiting_.pop_front();
    Start(std::move(call));
  }
}

void
gpTargetStandIn::Start(Call aCall)
{
  ++counts_.running_;
  counts_.peakRunning_ = std::max(counts_.peakRunning_, counts_.running_);
  journal_.Record(aCall.key_);
  if (std::exchange(behaviour_.crashNext_, false)) {
    server_.Abort(aCall.request_);
    End(aCall.request_, {});
  } else if (behaviour_.failAll_) {
    gpHttpResponse failure;
    failure.status_ = 500;
    End(aCall.request_, failure);
  } else if (behaviour_.hang_) {
    hung_.push_back(std::move(aCall));
  } else {
    const gpMicros runTime(static_cast<std::int64_t>(
      static_cast<double>(gpMicros(aCall.runTime_).count()) *
      behaviour_.speed_));
    timers_.Subscribe(
      gpEventLoop::Now() + runTime,
      [this, call = std::move(aCall)] { End(call.request_, call.response_); });
  }
}

void
gpTargetStandIn::End(gpRequestId aRequest, gpHttpResponse aResponse)
{
  server_.Respond(aRequest, std::move(aResponse));
  --counts_.running_;
  StartWaitingCalls();
  DrainIfIdle();
}

void
gpTargetStandIn::DrainIfIdle()
{
  if (drained_ && counts_.running_ == 0 && waiting_.empty()) {
    server_.Drain(std::exchange(drained_, nullptr));
  }
}

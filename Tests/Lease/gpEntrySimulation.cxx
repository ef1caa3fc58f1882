#include "gpEntrySimulation.h"

#include <algorithm>
#include <array>

namespace {

const gpServiceName kService("pond-order");
constexpr gpMillis kCallerTimeout{ 1500 };
constexpr gpMillis kAllowance{ 60 };
constexpr double kStretch = 1.6;
constexpr std::array kSlowness = { 0.6, 1.0, 1.6 };

gpQueueTable
MakeQueues()
{
  gpQueue queue;
  queue.name_ = gpQueueName("hold");
  queue.host_ = "ponds";
  queue.prefix_ = "/hold/";
  queue.service_ = kService;
  queue.maxAttempts_ = 2;
  queue.stretch_ = kStretch;
  queue.allowance_ = kAllowance;
  gpQueueTable table;
  table.version_ = gpConfigVersion(1);
  table.queues_.push_back(queue);
  return table;
}

gpLeaseEntryOptions
MakeOptions()
{
  gpLeaseEntryOptions options;
  options.self_.dataCentre_ = gpDataCentreName("dc-1");
  return options;
}

} // namespace

gpEntrySimulation::gpEntrySimulation(const gpEntrySimulationOptions& aOptions)
  : options_(aOptions)
  , entry_(MakeOptions())
  , random_(aOptions.seed_)
{
  Feed(gpQueuesChanged{ MakeQueues() });
  guards_.resize(options_.guards_);
  for (std::size_t index = 0; index < guards_.size(); ++index) {
    Guard& guard = guards_[index];
    guard.link_ = gpLinkId(index + 1);
    guard.free_ = { options_.milliCores_, 1U << 20U, 0 };
    guard.slowness_ = kSlowness.at(index % kSlowness.size());
    gpLinkOpened opened;
    opened.link_ = guard.link_;
    opened.peer_.role_ = gpRole::Guard;
    opened.peer_.incarnation_ = gpIncarnation(index + 1);
    Feed(opened);
    gpTargetUpdate update;
    update.service_ = kService;
    update.dataCentre_ = gpDataCentreName("dc-1");
    update.capacity_ = guard.free_;
    update.takesWork_ = true;
    Feed(gpMessageReceived{ guard.link_, update });
    SendCapacity(guard);
    const gpMillis first(static_cast<std::int64_t>(index) %
                         options_.reportPeriod_.count());
    At(now_ + first, [this, &guard] { SendCapacityPeriodically(guard); });
  }
  Submit();
}

std::size_t
gpEntrySimulation::CountAnswers(gpLeaseOutcome aOutcome) const
{
  const auto found = answers_.find(aOutcome);
  return found == answers_.end() ? 0 : found->second;
}

void
gpEntrySimulation::RunFor(gpMillis aTime)
{
  const gpTime end = now_ + aTime;
  while (!agenda_.empty() && agenda_.begin()->first <= end) {
    const auto next = agenda_.extract(agenda_.begin());
    now_ = next.key();
    next.mapped()();
  }
  now_ = end;
}

void
gpEntrySimulation::At(gpTime aTime, std::function<void()> aAction)
{
  agenda_.emplace(aTime, std::move(aAction));
}

void
gpEntrySimulation::Feed(decltype(gpLeaseEntryEvent::input_) aInput)
{
  ++events_;
  for (const gpLeaseEffect& effect :
       entry_.Reduce({ now_, std::move(aInput) })) {
    CarryOut(effect);
  }
}

void
gpEntrySimulation::CarryOut(const gpLeaseEffect& aEffect)
{
  if (const auto* wake = std::get_if<gpWakeAt>(&aEffect)) {
    At(wake->when_, [this] { Feed(gpTimePassed{}); });
  } else if (const auto* answer = std::get_if<gpAnswerLeaseJob>(&aEffect)) {
    ++answers_[answer->answer_.outcome_];
  } else if (const auto* send = std::get_if<gpSend>(&aEffect)) {
    const auto* order = std::get_if<gpRunOrder>(&send->message_);
    if (order != nullptr) {
      Guard& guard = guards_.at(send->link_.value_ - 1);
      At(now_ + gpMillis(1),
         [this, &guard, order = *order] { StartRuns(guard, order); });
    }
  }
}

void
gpEntrySimulation::StartRuns(Guard& aGuard, const gpRunOrder& aOrder)
{
  for (const gpRunId& run : aOrder.runs_) {
    ++aGuard.ordered_;
    if (!aGuard.free_.Covers(aOrder.needs_)) {
      Feed(gpMessageReceived{
        aGuard.link_, gpRunReport{ run, gpRunEnd::NoRoom, gpMicros(0) } });
      SendCapacity(aGuard);
      continue;
    }
    aGuard.free_.Take(aOrder.needs_);
    const auto length = static_cast<double>(aOrder.estimate_.count());
    const gpMillis time(static_cast<std::int64_t>(length * aGuard.slowness_) +
                        1);
    At(now_ + time, [this, &aGuard, run, needs = aOrder.needs_] {
      EndRun(aGuard, run, needs);
    });
  }
}

void
gpEntrySimulation::EndRun(Guard& aGuard,
                          const gpRunId& aRun,
                          const gpResources& aNeeds)
{
  aGuard.free_.Add(aNeeds);
  Feed(gpMessageReceived{
    aGuard.link_, gpRunReport{ aRun, gpRunEnd::Done, options_.estimate_ } });
  SendCapacity(aGuard);
}

void
gpEntrySimulation::SendCapacity(Guard& aGuard)
{
  constexpr double kPermille = 1000;
  gpCapacityReport report;
  report.free_ = aGuard.free_;
  report.runsSeen_ = aGuard.ordered_;
  report.slownessPermille_ =
    static_cast<std::uint32_t>(aGuard.slowness_ * kPermille);
  aGuard.sentFree_ = aGuard.free_;
  Feed(gpMessageReceived{ aGuard.link_, report });
}

void
gpEntrySimulation::SendCapacityPeriodically(Guard& aGuard)
{
  if (aGuard.free_ != aGuard.sentFree_) {
    SendCapacity(aGuard);
  }
  At(now_ + options_.reportPeriod_,
     [this, &aGuard] { SendCapacityPeriodically(aGuard); });
}

void
gpEntrySimulation::Submit()
{
  gpLeaseJob job;
  job.id_ = std::to_string(++jobs_);
  job.host_ = "ponds";
  job.path_ = "/hold/" + job.id_;
  job.spec_ = std::string(100, 'x');
  job.callerTimeout_ = kCallerTimeout;
  job.steps_.push_back(
    { options_.tasksOfJob_, options_.needs_, options_.estimate_, {} });
  Feed(gpLeaseJobSubmitted{ gpRequestId(jobs_), std::move(job) });
  std::exponential_distribution<double> pause(options_.jobsPerSecond_);
  const gpMicros next(static_cast<std::int64_t>(pause(random_) * 1e6));
  At(now_ + next, [this] { Submit(); });
}

#include "gpCrashMonitor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gpLeaseLogEvents.h"

namespace {

void
WriteQueue(gpEventKind aKind,
           const gpContainedQueue& aQueue,
           gpLeaseEffects& aOut)
{
  std::string detail = aQueue.queue_.value_;
  if (aQueue.crashAge_ > gpMillis(0)) {
    detail += ", tasks crash targets " + gpMillisText(aQueue.crashAge_) +
              " after their start";
  }
  gpTimelineEvent event = gpProcessLogEvent(aKind, std::move(detail));
  event.key_ = gpServiceKey{ aQueue.service_, gpSubmissionKey() };
  aOut.Write(std::move(event));
}

/// The queues of the runs that are suspected of the crash. Runs of entries of
/// an older version have no queue.
std::set<gpQueueName>
SuspectedQueues(const gpTargetCrash& aCrash)
{
  std::set<gpQueueName> queues;
  for (const gpLostRun& run : aCrash.runs_) {
    if (run.suspected_ && !run.queue_.value_.empty()) {
      queues.insert(run.queue_);
    }
  }
  return queues;
}

} // namespace

gpTargetCrash
gpCrashMonitor::Suspect(gpTargetCrash aCrash) const
{
  const auto explains = [this](const gpLostRun& aRun) {
    return containment_.Explains(aRun);
  };
  if (std::any_of(aCrash.runs_.begin(), aCrash.runs_.end(), explains)) {
    for (gpLostRun& run : aCrash.runs_) {
      run.suspected_ = explains(run);
    }
  }
  return aCrash;
}

gpCrashNovelty
gpCrashMonitor::Learn(const gpTargetCrash& aCrash,
                      gpTime aNow,
                      gpLeaseEffects& aOut)
{
  // Guards repeat a crash in each of their updates for some time.
  if (ledger_.IsKnown(aCrash)) {
    return gpCrashNovelty::Known;
  }
  const gpCrashNovelty novelty = ledger_.Add(Suspect(aCrash), aNow);
  switch (novelty) {
    case gpCrashNovelty::Known:
      break;
    case gpCrashNovelty::New:
      recent_.Add(aCrash, aNow);
      ContainQueues(aCrash, aNow, aOut);
      break;
    case gpCrashNovelty::Settled:
      recent_.Settle(aCrash.target_, aCrash.number_, aCrash.state_);
      break;
  }
  return novelty;
}

void
gpCrashMonitor::ContainQueues(const gpTargetCrash& aCrash,
                              gpTime aNow,
                              gpLeaseEffects& aOut)
{
  if (aCrash.service_.value_.empty()) {
    return;
  }
  for (const gpContainedQueue& queue : containment_.NoteCrash(aCrash, aNow)) {
    WriteQueue(gpEventKind::QueueContained, queue, aOut);
  }
  const std::set<gpQueueName> suspected = SuspectedQueues(aCrash);
  const bool isDeadly = std::any_of(
    aCrash.runs_.begin(), aCrash.runs_.end(), [this](const gpLostRun& aRun) {
      return aRun.suspected_ && ledger_.IsDeadly(aRun.run_.task_);
    });
  // If other queues are suspected too, the task may have been suspected twice
  // by chance.
  if (isDeadly && suspected.size() == 1) {
    Adopt({ { *suspected.begin(), aCrash.service_, {} } }, aNow, aOut);
  }
}

void
gpCrashMonitor::Adopt(const std::vector<gpContainedQueue>& aQueues,
                      gpTime aNow,
                      gpLeaseEffects& aOut)
{
  for (const gpContainedQueue& queue : aQueues) {
    if (containment_.Contain(queue, aNow)) {
      WriteQueue(gpEventKind::QueueContained, queue, aOut);
    }
  }
}

void
gpCrashMonitor::ReleaseQueues(
  const std::function<bool(const gpServiceName&)>& aHasTarget,
  gpTime aNow,
  gpLeaseEffects& aOut)
{
  for (const gpContainedQueue& queue : containment_.Release(aHasTarget, aNow)) {
    WriteQueue(gpEventKind::QueueReleased, queue, aOut);
  }
}

void
gpCrashMonitor::DropOld(gpTime aNow)
{
  constexpr gpMillis kDropPause{ 1000 };
  if (aNow < dropAt_) {
    return;
  }
  dropAt_ = aNow + kDropPause;
  ledger_.DropOld(aNow);
  recent_.DropOld(aNow);
}

void
gpCrashMonitor::AddTo(gpEntryUpdate& aUpdate) const
{
  aUpdate.crashes_ = recent_.List();
  aUpdate.contained_ = containment_.List();
}

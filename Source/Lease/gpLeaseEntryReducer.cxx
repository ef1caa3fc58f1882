#include "gpLeaseEntryReducer.h"

#include <algorithm>
#include <utility>

#include "gpLeaseLogEvents.h"
#include "gpLeaseTimeCheck.h"
#include "gpScaled.h"

namespace {

/// Period in which deadlines are checked and all waiting tasks are matched with
/// all targets.
constexpr gpMillis kTick{ 20 };
/// Retry time for callers that are refused during a shutdown: enough to connect
/// to another entry.
constexpr gpMillis kShutdownRetry{ 1000 };
/// Time after which a load balancer sends no new connections to an entry that
/// reports itself not ready: it checks once a second and needs two failed
/// checks.
constexpr gpMillis kBalancerReactionTime{ 2200 };
/// In this last part of the shutdown time, the process ends as soon as it has
/// no jobs. Before it, callers may still submit jobs, as the load balancer has
/// not yet stopped sending connections.
constexpr gpMillis kLastJobsTime{ 1600 };
/// During a shutdown, a job is accepted only if its expected run time
/// multiplied by this factor, plus kShutdownPause, fits into the rest of the
/// shutdown time.
constexpr double kShutdownMargin = 2.0;
constexpr gpMillis kShutdownPause{ 200 };

} // namespace

gpLeaseEntryReducer::gpLeaseEntryReducer(gpLeaseEntryOptions aOptions)
  : options_(std::move(aOptions))
  , peers_(options_.self_, options_.links_)
  , targetTable_(options_.self_.dataCentre_)
  , admission_(targetTable_, jobs_, crashes_.GetContainment())
  , dispatcher_(jobs_,
                targetTable_,
                crashes_.GetLedger(),
                crashes_.GetContainment(),
                options_.firstRun_)
{
}

std::vector<gpLeaseEffect>
gpLeaseEntryReducer::Reduce(const gpLeaseEntryEvent& aEvent)
{
  now_ = aEvent.now_;
  std::visit([this](const auto& aInput) { On(aInput); }, aEvent.input_);
  dispatcher_.Flush(out_);
  peers_.Update(guards_, now_, out_);
  ContinueShutdown();
  ScheduleWake();
  return out_.Take();
}

gpLeaseEntryStatus
gpLeaseEntryReducer::GetStatus() const
{
  gpLeaseEntryStatus status;
  status.version_ = queues_.version_;
  status.jobs_ = jobs_.GetAll().size();
  status.waiting_ = jobs_.GetWaiting().size();
  status.guards_ = guards_.size();
  status.entries_ = peers_.CountDialed();
  status.targetsConsidered_ = targetTable_.CountConsidered();
  status.loopLag_ = lag_.GetStandingDelay();
  status.ready_ = queues_.version_ != gpConfigVersion{} && !guards_.empty() &&
                  shutdownAt_ == gpTime::max();
  return status;
}

std::size_t
gpLeaseEntryReducer::CountPending(const gpQueueName& aQueue) const
{
  const auto& all = jobs_.GetAll();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [&](const auto& aEntry) {
      return aEntry.second.queue_.name_ == aQueue &&
             aEntry.second.runsSent_ == 0;
    }));
}

bool
gpLeaseEntryReducer::HasJob(const std::string& aJob) const
{
  return jobs_.HasId(aJob);
}

void
gpLeaseEntryReducer::Refuse(const gpLeaseJobSubmitted& aEvent,
                            const gpQueue* aQueue,
                            const gpLeaseAnswer& aAnswer)
{
  const std::string queue =
    aQueue == nullptr ? "" : " queue " + aQueue->name_.value_;
  out_.Write(gpJobLogEvent(gpEventKind::JobAnswered,
                           gpServiceName(),
                           aEvent.job_.id_,
                           gpAnswerText(aAnswer) + queue + " version " +
                             std::to_string(queues_.version_.value_) +
                             " loop lag " +
                             gpMillisText(lag_.GetStandingDelay())));
  out_.Add(gpAnswerLeaseJob{ aEvent.request_, aAnswer });
}

void
gpLeaseEntryReducer::On(const gpLeaseJobSubmitted& aEvent)
{
  const gpQueue* queue = queues_.Find(aEvent.job_.host_, aEvent.job_.path_);
  const bool isConfigured = queues_.version_ != gpConfigVersion{};
  if (queue != nullptr && AnswerEnded(aEvent)) {
    return;
  }
  const auto refusal = admission_.FindRefusal(aEvent.job_, queue, isConfigured);
  if (refusal.has_value()) {
    Refuse(aEvent, queue, *refusal);
    return;
  }
  if (gpLeaseRecord* earlier = jobs_.FindById(aEvent.job_.id_)) {
    // The caller has lost its connection and submitted the job again on a new
    // one, before the entry noticed the loss.
    out_.Add(gpAnswerLeaseJob{
      earlier->request_,
      { gpLeaseOutcome::Failed, gpLeaseReason::Duplicate, std::nullopt } });
    jobs_.ReplaceRequest(*earlier, aEvent.request_);
    WriteJob(gpEventKind::JobAttached, *earlier, "submitted again");
    return;
  }
  const auto crashRefusal =
    gpLeaseAdmission::FindCrashRefusal(aEvent.job_, crashes_.GetLedger());
  if (crashRefusal.has_value()) {
    Refuse(aEvent, queue, *crashRefusal);
    return;
  }
  if (jobs_.CountTasks() + aEvent.job_.CountTasks() > options_.mostTasks_) {
    Refuse(aEvent, queue, gpLeaseAdmission::RefuseTooManyTasks());
    return;
  }
  // While the event loop lags, the job has already waited that long before it
  // was read.
  const gpTime arrivedAt = now_ - lag_.GetStandingDelay();
  gpLeaseRecord record = admission_.MakeRecord(aEvent, *queue, arrivedAt, now_);
  if (!EndsBeforeShutdown(record)) {
    Refuse(
      aEvent,
      queue,
      { gpLeaseOutcome::NotRun, gpLeaseReason::ShuttingDown, kShutdownRetry });
    return;
  }
  const gpMillis wait = admission_.PredictWait(record);
  if (now_ + wait > record.startBy_) {
    Refuse(aEvent, queue, admission_.RefuseOverloaded(record));
    return;
  }
  gpLeaseRecord& job = jobs_.Add(std::move(record));
  WriteJob(gpEventKind::JobAdmitted,
           job,
           gpAdmittedText(job, queues_.version_, wait, now_));
  dispatcher_.DispatchJob(job, now_, out_);
  dispatcher_.LogWait(job, now_, out_);
}

bool
gpLeaseEntryReducer::AnswerEnded(const gpLeaseJobSubmitted& aEvent)
{
  const std::string& id = aEvent.job_.id_;
  gpLeaseAnswer answer;
  if (cancelled_.Contains(id, now_)) {
    answer = { gpLeaseOutcome::Cancelled,
               gpLeaseReason::CallerGone,
               std::nullopt };
  } else if (completed_.Contains(id, now_)) {
    answer = { gpLeaseOutcome::Completed, gpLeaseReason::None, std::nullopt };
  } else {
    return false;
  }
  out_.Write(gpJobLogEvent(gpEventKind::JobAnswered,
                           gpServiceName(),
                           id,
                           gpAnswerText(answer) + " as before"));
  out_.Add(gpAnswerLeaseJob{ aEvent.request_, answer });
  return true;
}

void
gpLeaseEntryReducer::On(const gpLeaseJobCancelled& aEvent)
{
  // Also if the job isn't known: it may be in progress at another entry, or its
  // request may arrive later.
  LearnCancelled({ aEvent.id_, gpMillis(0) });
}

void
gpLeaseEntryReducer::LearnCancelled(const gpEndedJob& aJob)
{
  if (cancelled_.Add(aJob, now_)) {
    peers_.TellCancelled(aJob);
  }
  if (gpLeaseRecord* job = jobs_.FindById(aJob.id_)) {
    EndJob(
      *job,
      { gpLeaseOutcome::Cancelled, gpLeaseReason::CallerGone, std::nullopt });
  }
}

void
gpLeaseEntryReducer::LearnCompleted(const gpEndedJob& aJob)
{
  if (!completed_.Add(aJob, now_)) {
    return;
  }
  if (gpLeaseRecord* job = jobs_.FindById(aJob.id_)) {
    EndJob(*job,
           { gpLeaseOutcome::Completed, gpLeaseReason::None, std::nullopt });
  }
}

void
gpLeaseEntryReducer::On(const gpCallerDisconnected& aEvent)
{
  gpLeaseRecord* job = jobs_.FindByRequest(aEvent.request_);
  if (job == nullptr) {
    return;
  }
  WriteJob(gpEventKind::CallerGone, *job, "");
  dispatcher_.StopRuns(*job, out_);
  jobs_.Remove(job->sequence_);
}

void
gpLeaseEntryReducer::On(const gpQueuesChanged& aEvent)
{
  if (aEvent.queues_.version_ <= queues_.version_) {
    return;
  }
  queues_ = aEvent.queues_;
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ConfigurationInForce;
  event.number_ = queues_.version_.value_;
  event.detail_ = std::to_string(queues_.queues_.size()) + " queues";
  out_.Write(std::move(event));
}

void
gpLeaseEntryReducer::On(const gpEntriesFound& aEvent)
{
  peers_.SetConfigured(aEvent.entries_);
}

void
gpLeaseEntryReducer::On(const gpLinkOpened& aEvent)
{
  const gpPeer& peer = aEvent.peer_;
  gpEntryUpdate update = peers_.MakeUpdate(now_);
  if (peer.role_ == gpRole::Guard) {
    guards_.insert_or_assign(aEvent.link_, peer.incarnation_);
    targetTable_.OnLinked(peer, aEvent.link_);
  } else {
    peers_.OnLinked(aEvent);
    crashes_.AddTo(update);
    update.cancelled_ = cancelled_.List(now_);
  }
  out_.Send(aEvent.link_, std::move(update));
}

void
gpLeaseEntryReducer::On(const gpLinkLost& aEvent)
{
  peers_.OnLost(aEvent.link_, now_);
  const auto found = guards_.find(aEvent.link_);
  if (found == guards_.end()) {
    return;
  }
  const gpIncarnation guard = found->second;
  guards_.erase(found);
  const gpTargetView* view = targetTable_.Find(guard);
  if (view != nullptr && view->link_ == aEvent.link_) {
    LoseGuard(guard);
  }
}

void
gpLeaseEntryReducer::LoseGuard(gpIncarnation aGuard)
{
  targetTable_.OnLost(aGuard);
  for (const auto& [job, index] :
       jobs_.ListAt(aGuard, gpLeaseTaskPhase::Sent)) {
    gpLeaseTask& task = job->tasks_[index];
    task.lostAt_ = now_;
    jobs_.ChangePhase(*job, index, gpLeaseTaskPhase::Lost);
    out_.Write(gpTaskLogEvent(
      gpEventKind::TaskInDoubt, *job, task.run_, aGuard, "link lost"));
  }
}

void
gpLeaseEntryReducer::On(const gpDialFailed& aEvent)
{
  peers_.OnDialFailed(aEvent.address_, now_);
}

void
gpLeaseEntryReducer::On(const gpMessageReceived& aEvent)
{
  std::visit([&](const auto& aMessage) { OnMessage(aEvent.link_, aMessage); },
             aEvent.message_);
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId aLink, const gpRunReport& aMessage)
{
  const auto guard = guards_.find(aLink);
  if (guard == guards_.end()) {
    return;
  }
  const auto [job, index] = jobs_.FindRun(aMessage.run_);
  if (job == nullptr || job->tasks_[index].guard_ != guard->second) {
    targetTable_.NoteEnded(guard->second, "", aMessage, now_);
    return;
  }
  targetTable_.NoteEnded(guard->second, job->job_.id_, aMessage, now_);
  out_.Write(gpTaskLogEvent(gpEventKind::TaskEnded,
                            *job,
                            aMessage.run_,
                            guard->second,
                            gpRunEndName(aMessage.end_)));
  if (aMessage.end_ == gpRunEnd::Done) {
    OnTaskDone(*job, index);
  } else {
    OnTaskNotDone(*job, index, aMessage.end_);
  }
}

void
gpLeaseEntryReducer::OnTaskDone(gpLeaseRecord& aJob, std::size_t aTask)
{
  jobs_.ChangePhase(aJob, aTask, gpLeaseTaskPhase::Done);
  ++aJob.tasksDone_;
  if (aJob.tasksDone_ == aJob.tasks_.size()) {
    const gpEndedJob ended{ aJob.job_.id_, gpMillis(0) };
    completed_.Add(ended, now_);
    peers_.TellCompleted(ended);
    EndJob(aJob,
           { gpLeaseOutcome::Completed, gpLeaseReason::None, std::nullopt });
    return;
  }
  // The capacity that the run frees arrives in a separate capacity report, so
  // only a job with several steps may have new tasks to place now.
  if (aJob.job_.steps_.size() > 1) {
    jobs_.Unblock(aJob);
    dispatcher_.DispatchJob(aJob, now_, out_);
  }
}

void
gpLeaseEntryReducer::OnTaskNotDone(gpLeaseRecord& aJob,
                                   std::size_t aTask,
                                   gpRunEnd aEnd)
{
  gpLeaseTask& task = aJob.tasks_[aTask];
  if (aEnd == gpRunEnd::Failed) {
    ++task.failures_;
    if (task.failures_ >= aJob.queue_.maxAttempts_) {
      FailJob(aJob, gpLeaseReason::TaskFailed);
      return;
    }
  } else if (aEnd != gpRunEnd::Stopped) {
    --aJob.runsSent_;
  }
  if (aEnd == gpRunEnd::Outdated) {
    dispatcher_.SkipAhead();
  } else {
    task.avoid_.insert(task.guard_);
  }
  jobs_.ChangePhase(aJob, aTask, gpLeaseTaskPhase::Waiting);
  dispatcher_.DispatchJob(aJob, now_, out_);
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId aLink, const gpRunsHeld& aMessage)
{
  const auto guard = guards_.find(aLink);
  if (guard == guards_.end()) {
    return;
  }
  const std::set<gpRunId> held(aMessage.runs_.begin(), aMessage.runs_.end());
  for (const auto& [job, index] :
       jobs_.ListAt(guard->second, gpLeaseTaskPhase::Lost)) {
    if (!held.contains(job->tasks_[index].run_)) {
      OnTaskNotDone(*job, index, gpRunEnd::Stopped);
    }
  }
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId aLink, const gpTargetUpdate& aMessage)
{
  const auto guard = guards_.find(aLink);
  if (guard == guards_.end()) {
    return;
  }
  for (const gpTargetCrash& crash : aMessage.crashes_) {
    LearnCrash(crash);
  }
  targetTable_.OnTargetUpdate(guard->second, aMessage);
  dispatcher_.Dispatch(now_, out_);
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId aLink, const gpCapacityReport& aMessage)
{
  const auto guard = guards_.find(aLink);
  if (guard != guards_.end() &&
      targetTable_.OnCapacityReport(guard->second, aMessage, now_)) {
    dispatcher_.DispatchAt(guard->second, now_, out_);
  }
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId /*aLink*/,
                               const gpEntryUpdate& aMessage)
{
  peers_.Learn(aMessage);
  for (const gpTargetCrash& crash : aMessage.crashes_) {
    LearnCrash(crash);
  }
  crashes_.Adopt(aMessage.contained_, now_, out_);
  for (const gpEndedJob& job : aMessage.cancelled_) {
    LearnCancelled(job);
  }
  for (const gpEndedJob& job : aMessage.completed_) {
    LearnCompleted(job);
  }
}

void
gpLeaseEntryReducer::LearnCrash(const gpTargetCrash& aCrash)
{
  if (crashes_.Learn(aCrash, now_, out_) == gpCrashNovelty::Known) {
    return;
  }
  peers_.Forward(aCrash);
  const gpCrashLedger& ledger = crashes_.GetLedger();
  for (const gpLostRun& run : aCrash.runs_) {
    const std::string id = gpJobOfTask(run.run_.task_);
    gpLeaseRecord* job = jobs_.FindById(id);
    if (job != nullptr && ledger.IsWithheld(id)) {
      FailJob(*job,
              ledger.IsGivenUp(id) ? gpLeaseReason::TaskCrashes
                                   : gpLeaseReason::TaskSuspected);
    }
  }
}

void
gpLeaseEntryReducer::On(const gpTimePassed&)
{
  if (wakeAt_ != gpTime{}) {
    lag_.NoteTimer(wakeAt_, now_);
  }
  crashes_.DropOld(now_);
  cancelled_.DropOld(now_);
  completed_.DropOld(now_);
  crashes_.ReleaseQueues(
    [this](const gpServiceName& aService) {
      return targetTable_.HasTarget(aService, gpPlacementScope::SetApart);
    },
    now_,
    out_);
  CheckAllTimes();
  dispatcher_.Dispatch(now_, out_);
}

void
gpLeaseEntryReducer::On(const gpShutdownRequested&)
{
  if (shutdownAt_ != gpTime::max()) {
    return;
  }
  shutdownAt_ = now_;
  out_.Write(gpProcessLogEvent(gpEventKind::ProcessStopping, ""));
}

void
gpLeaseEntryReducer::EndJob(gpLeaseRecord& aJob, const gpLeaseAnswer& aAnswer)
{
  WriteJob(gpEventKind::JobAnswered,
           aJob,
           gpAnswerText(aAnswer) + " after " +
             gpMillisText(now_ - aJob.arrivedAt_));
  out_.Add(gpAnswerLeaseJob{ aJob.request_, aAnswer });
  dispatcher_.StopRuns(aJob, out_);
  jobs_.Remove(aJob.sequence_);
}

void
gpLeaseEntryReducer::CheckAllTimes()
{
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, job] : jobs_.GetAll()) {
    sequences.push_back(sequence);
  }
  for (const std::uint64_t sequence : sequences) {
    CheckTimes(*jobs_.Find(sequence));
  }
}

void
gpLeaseEntryReducer::CheckTimes(gpLeaseRecord& aJob)
{
  const gpLeaseTimeCheck times = gpCheckLeaseTimes(aJob, now_);
  switch (times.verdict_) {
    case gpLeaseVerdict::NotStarted:
      EndJob(aJob, admission_.RefuseOverloaded(aJob));
      return;
    case gpLeaseVerdict::TooLate:
      FailJob(aJob, gpLeaseReason::DeadlineExceeded);
      return;
    case gpLeaseVerdict::TargetLost:
      FailJob(aJob, gpLeaseReason::TargetLost);
      return;
    case gpLeaseVerdict::GoOn:
      break;
  }
  for (const std::size_t task : times.endedTasks_) {
    OnTaskNotDone(aJob, task, gpRunEnd::Stopped);
  }
  for (const std::size_t task : times.stragglers_) {
    dispatcher_.StopStraggler(aJob, task, out_);
  }
}

void
gpLeaseEntryReducer::FailJob(gpLeaseRecord& aJob, gpLeaseReason aReason)
{
  EndJob(aJob, { gpLeaseOutcome::Failed, aReason, std::nullopt });
}

bool
gpLeaseEntryReducer::EndsBeforeShutdown(const gpLeaseRecord& aJob) const
{
  if (shutdownAt_ == gpTime::max()) {
    return true;
  }
  const gpMillis length =
    gpScaled(aJob.GetCriticalPath(), kShutdownMargin) + kShutdownPause;
  return !stopped_ && now_ + length <= shutdownAt_ + options_.shutdown_;
}

bool
gpLeaseEntryReducer::IsEnding() const
{
  return shutdownAt_ != gpTime::max() &&
         now_ >= shutdownAt_ + options_.shutdown_ - kLastJobsTime;
}

void
gpLeaseEntryReducer::ContinueShutdown()
{
  if (shutdownAt_ == gpTime::max() || stopped_) {
    return;
  }
  const gpTime end = shutdownAt_ + options_.shutdown_;
  const gpTime closeAt =
    std::min<gpTime>(shutdownAt_ + kBalancerReactionTime, end - kLastJobsTime);
  if (now_ >= closeAt && !std::exchange(callerConnectionsClosed_, true)) {
    out_.Add(gpCloseCallerConnections{});
  }
  if (now_ >= end) {
    AnswerAll();
  }
  if (IsEnding() && jobs_.GetAll().empty()) {
    stopped_ = true;
    peers_.TellLast(now_, out_);
    out_.Add(gpStop{});
  }
}

void
gpLeaseEntryReducer::AnswerAll()
{
  while (!jobs_.GetAll().empty()) {
    gpLeaseRecord& job = jobs_.GetAll().begin()->second;
    if (job.runsSent_ > 0) {
      FailJob(job, gpLeaseReason::ShuttingDown);
    } else {
      EndJob(job,
             { gpLeaseOutcome::NotRun,
               gpLeaseReason::ShuttingDown,
               kShutdownRetry });
    }
  }
}

void
gpLeaseEntryReducer::ScheduleWake()
{
  if (wakeAt_ <= now_) {
    wakeAt_ = now_ + kTick;
    out_.Add(gpWakeAt{ wakeAt_ });
  }
}

void
gpLeaseEntryReducer::WriteJob(gpEventKind aKind,
                              const gpLeaseRecord& aJob,
                              const std::string& aDetail)
{
  out_.Write(
    gpJobLogEvent(aKind, aJob.queue_.service_, aJob.job_.id_, aDetail));
}

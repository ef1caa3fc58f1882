#include "gpEntryDispatch.h"

#include <algorithm>
#include <utility>

#include "gpDecisionEvents.h"
#include "gpJobTable.h"

namespace {

/// Within a team, tasks are ordered by the arrival time of their job plus this
/// time for each open task of the job. So short jobs start first, but a long
/// job can't be overtaken for ever.
constexpr gpMicros kRankPerTask{ 20000 };

gpTimelineEvent
TaskEvent(gpEventKind aKind,
          const gpAttemptId& aAttempt,
          const gpGuardView& aGuard)
{
  gpTimelineEvent event = gpTaskEvent(aKind, aAttempt);
  event.peer_ = aGuard.member_.guard_;
  return event;
}

gpTimelineEvent
TargetEvent(gpEventKind aKind, const gpGuardView& aGuard)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.peer_ = aGuard.member_.guard_;
  return event;
}

} // namespace

gpEntryDispatch::gpEntryDispatch(gpTimings aTimings,
                                 std::uint64_t aSeed,
                                 gpJobTable& aJobs,
                                 gpGuardDirectory& aGuards)
  : timings_(aTimings)
  , seed_(aSeed)
  , jobs_(aJobs)
  , guards_(aGuards)
{
}

void
gpEntryDispatch::SetConfiguration(const gpConfiguration& aConfiguration)
{
  for (const auto& [name, config] : aConfiguration.services_) {
    Service& service = services_[name];
    if (!service.policy_ || service.config_.placement_ != config.placement_) {
      service.policy_ = gpMakePlacementPolicy(config.placement_, seed_);
    }
    service.config_ = config;
  }
  teamWeights_.clear();
  for (const auto& [name, team] : aConfiguration.teams_) {
    teamWeights_.emplace(name, team.weight_);
  }
}

void
gpEntryDispatch::Enqueue(const gpJob& aJob)
{
  for (std::uint32_t index = 0; index < aJob.tasks_.size(); ++index) {
    PushTask(aJob, gpTaskIndex(index));
  }
}

void
gpEntryDispatch::Abandon(gpJob& aJob, gpEffects& aOut)
{
  const auto service = services_.find(aJob.submission_.service_);
  for (std::uint32_t index = 0; index < aJob.tasks_.size(); ++index) {
    gpTask& task = aJob.tasks_[index];
    const gpTaskId id{ aJob.id_, gpTaskIndex(index) };
    if (task.phase_ == gpTaskPhase::Waiting) {
      task.phase_ = gpTaskPhase::Dropped;
      if (service != services_.end()) {
        service->second.queue_.Remove(id);
      }
    } else if (task.phase_ == gpTaskPhase::Sent) {
      const gpGuardView* guard = guards_.Find(task.guard_);
      const gpAttemptId attempt{ id, task.attempt_ };
      cancels_[task.guard_].attempts_.push_back(attempt);
      if (guard != nullptr) {
        aOut.Write(TaskEvent(gpEventKind::TaskCancelled, attempt, *guard));
      }
    }
  }
}

void
gpEntryDispatch::Dispatch(gpTime aNow, gpEffects& aOut)
{
  for (auto& [name, service] : services_) {
    DispatchService(service, aNow, aOut);
  }
}

void
gpEntryDispatch::FlushCancels(gpEffects& aOut)
{
  for (auto& [incarnation, cancel] : std::exchange(cancels_, {})) {
    const gpGuardView* guard = guards_.Find(incarnation);
    if (guard != nullptr && guard->link_.has_value()) {
      aOut.Send(*guard->link_, std::move(cancel));
    }
  }
}

void
gpEntryDispatch::OnGuardLinked(gpGuardView& aGuard, gpEffects& aOut)
{
  if (aGuard.inFlight_.empty()) {
    return;
  }
  gpResolve resolve;
  resolve.attempts_.assign(aGuard.inFlight_.begin(), aGuard.inFlight_.end());
  aOut.Send(*aGuard.link_, std::move(resolve));
}

void
gpEntryDispatch::OnGuardLinkLost(gpGuardView& aGuard,
                                 gpTime aNow,
                                 gpEffects& aOut)
{
  aGuard.link_.reset();
  aGuard.unlinkedSince_ = aNow;
  aGuard.usedByOthers_ = 0;
  for (const gpAttemptId& attempt : aGuard.inFlight_) {
    gpTask* task = FindAttempt(attempt);
    if (task != nullptr) {
      task->phase_ = gpTaskPhase::InDoubt;
      aOut.Write(TaskEvent(gpEventKind::TaskInDoubt, attempt, aGuard));
    }
  }
}

void
gpEntryDispatch::OnGuardEnded(gpGuardView& aGuard, gpEffects& aOut)
{
  for (const gpAttemptId& attempt : std::exchange(aGuard.inFlight_, {})) {
    if (FindAttempt(attempt) != nullptr) {
      gpTimelineEvent event =
        TaskEvent(gpEventKind::TaskResolved, attempt, aGuard);
      event.detail_ = "guard_gone";
      aOut.Write(std::move(event));
      updates_.push_back({ attempt.task_.job_, gpFailureCode::TaskInDoubt });
    }
  }
}

void
gpEntryDispatch::OnSlotReport(gpGuardView& aGuard,
                              const gpSlotReport& aReport,
                              gpTime aNow,
                              gpEffects& aOut)
{
  aGuard.slots_ = aReport.slots_;
  aGuard.NoteFree(aReport.freeSlots_, aNow);
  if (aReport.leaving_ && !aGuard.leaving_) {
    aOut.Write(TargetEvent(gpEventKind::TargetLeaving, aGuard));
  }
  aGuard.leaving_ = aReport.leaving_;
}

void
gpEntryDispatch::OnRefused(gpGuardView& aGuard,
                           const gpStartRefused& aRefused,
                           gpTime aNow,
                           gpEffects& aOut)
{
  const gpAttemptId attempt{ aRefused.task_, aRefused.attempt_ };
  if (aGuard.inFlight_.erase(attempt) == 0) {
    return;
  }
  aGuard.NoteFree(aRefused.freeSlots_, aNow);
  aGuard.awaitsOffer_ = aRefused.reason_ == gpRefusal::NoSlot;
  aGuard.health_.NoteNotRun();
  if (aRefused.reason_ == gpRefusal::Leaving) {
    aGuard.leaving_ = true;
  }
  if (aRefused.reason_ == gpRefusal::Connection) {
    NoteFailure(aGuard, aNow, aOut);
  }
  Requeue(attempt, aRefused.reason_);
}

void
gpEntryDispatch::OnResult(gpGuardView& aGuard,
                          const gpStartResult& aResult,
                          gpTime aNow,
                          gpEffects& aOut)
{
  const gpAttemptId attempt{ aResult.task_, aResult.attempt_ };
  if (aGuard.inFlight_.erase(attempt) == 0) {
    return;
  }
  aGuard.NoteFree(aResult.freeSlots_, aNow);
  gpTask* task = FindAttempt(attempt);
  if (aResult.end_ == gpTaskEnd::Answered) {
    const gpMicros total =
      task == nullptr ? aResult.runTime_ : gpMicros(aNow - task->sentAt_);
    guards_.NoteRun(aGuard, aResult.runTime_, total);
    if (aGuard.health_.NoteSuccess()) {
      aOut.Write(TargetEvent(gpEventKind::TargetReadmitted, aGuard));
    }
  } else if (task != nullptr) {
    // The result of a cancelled attempt says nothing about the health of the
    // target.
    NoteFailure(aGuard, aNow, aOut);
  }
  if (task != nullptr) {
    EndTask(*task, aResult);
  }
}

void
gpEntryDispatch::OnResolved(gpGuardView& aGuard,
                            const gpResolveReply& aReply,
                            gpEffects& aOut)
{
  static constexpr std::array kNames = {
    "never_seen", "refused", "running", "ended"
  };
  for (const gpResolution& resolution : aReply.resolutions_) {
    const gpAttemptId& attempt = resolution.attempt_;
    gpTask* task = FindAttempt(attempt);
    if (task != nullptr) {
      gpTimelineEvent event =
        TaskEvent(gpEventKind::TaskResolved, attempt, aGuard);
      event.detail_ = kNames.at(static_cast<std::size_t>(resolution.state_));
      aOut.Write(std::move(event));
    }
    const bool notRun = resolution.state_ == gpAttemptState::NeverSeen ||
                        resolution.state_ == gpAttemptState::Refused;
    if (notRun && aGuard.inFlight_.erase(attempt) > 0) {
      Requeue(attempt, gpRefusal::Tombstone);
    } else if (!notRun && task != nullptr) {
      task->phase_ = gpTaskPhase::Sent;
    }
  }
}

void
gpEntryDispatch::OnTime(gpTime aNow, gpEffects& aOut)
{
  for (auto& [incarnation, guard] : guards_.GetAll()) {
    const bool late = guard.unlinkedSince_.has_value() &&
                      *guard.unlinkedSince_ + timings_.inDoubt_ <= aNow;
    if (late && !guard.inFlight_.empty()) {
      OnGuardEnded(guard, aOut);
    }
  }
}

std::vector<gpJobUpdate>
gpEntryDispatch::TakeUpdates()
{
  return std::exchange(updates_, {});
}

std::size_t
gpEntryDispatch::CountWaiting(const gpServiceName& aService) const
{
  const auto found = services_.find(aService);
  return found == services_.end() ? 0 : found->second.queue_.GetSize();
}

std::size_t
gpEntryDispatch::CountWaiting() const
{
  std::size_t waiting = 0;
  for (const auto& [name, service] : services_) {
    waiting += service.queue_.GetSize();
  }
  return waiting;
}

std::size_t
gpEntryDispatch::CountInFlight() const
{
  std::size_t inFlight = 0;
  for (const auto& [incarnation, guard] : guards_.GetAll()) {
    inFlight += guard.inFlight_.size();
  }
  return inFlight;
}

gpTask*
gpEntryDispatch::FindAttempt(const gpAttemptId& aAttempt)
{
  gpJob* job = jobs_.Find(aAttempt.task_.job_);
  if (job == nullptr || job->phase_ != gpJobPhase::Running ||
      aAttempt.task_.task_.value_ >= job->tasks_.size()) {
    return nullptr;
  }
  gpTask& task = job->tasks_[aAttempt.task_.task_.value_];
  const bool open =
    task.phase_ == gpTaskPhase::Sent || task.phase_ == gpTaskPhase::InDoubt;
  return open && task.attempt_ == aAttempt.attempt_ ? &task : nullptr;
}

void
gpEntryDispatch::PushTask(const gpJob& aJob, gpTaskIndex aTask)
{
  const auto service = services_.find(aJob.submission_.service_);
  const auto weight = teamWeights_.find(aJob.submission_.team_);
  if (service == services_.end()) {
    return;
  }
  const gpTime rank =
    aJob.receivedAt_ + kRankPerTask * static_cast<int>(aJob.open_);
  service->second.queue_.Push(aJob.submission_.team_,
                              weight == teamWeights_.end() ? 1 : weight->second,
                              rank,
                              gpTaskId{ aJob.id_, aTask });
}

void
gpEntryDispatch::DispatchService(Service& aService,
                                 gpTime aNow,
                                 gpEffects& aOut)
{
  if (aService.queue_.GetSize() == 0) {
    return;
  }
  std::vector<gpGuardView*> candidates =
    guards_.ListUsable(aService.config_.name_);
  const auto isFull = [aNow](const gpGuardView* aGuard) {
    return aGuard->EstimateFreeSlots(aNow) == 0 ||
           !aGuard->health_.MayStart(aNow);
  };
  std::erase_if(candidates, isFull);
  const gpMicros meanRun = guards_.GetMeanRun(aService.config_.name_);
  while (!candidates.empty()) {
    const std::optional<gpTaskId> task = aService.queue_.Peek();
    if (!task.has_value()) {
      return;
    }
    // After the process was paused, the deadline of a job may have passed
    // without an event. By then its claim and the guards' records of its starts
    // may have expired, so a start could run a task twice.
    if (jobs_.Find(task->job_)->deadlineAt_ <= aNow) {
      aService.queue_.Remove(*task);
      continue;
    }
    // An ejected target that is due for a probe gets the next task.
    const auto probed =
      std::ranges::find_if(candidates, [](const gpGuardView* aGuard) {
        return aGuard->health_.IsEjected();
      });
    gpGuardView* guard = probed != candidates.end()
                           ? *probed
                           : aService.policy_->Choose(candidates, meanRun);
    aService.queue_.Pop();
    SendTask(*guard, *task, aService, aNow, aOut);
    std::erase_if(candidates, isFull);
  }
}

void
gpEntryDispatch::SendTask(gpGuardView& aGuard,
                          const gpTaskId& aTask,
                          Service& aService,
                          gpTime aNow,
                          gpEffects& aOut)
{
  gpJob& job = *jobs_.Find(aTask.job_);
  gpTask& task = job.tasks_[aTask.task_.value_];
  const gpTaskRequest& request = job.submission_.tasks_[aTask.task_.value_];
  ++task.attempt_.value_;
  task.phase_ = gpTaskPhase::Sent;
  task.guard_ = aGuard.member_.guard_;
  task.sentAt_ = aNow;
  if (task.attempt_.value_ == 1) {
    aService.budget_.NoteFirst(aService.config_.retries_.budgetPercent_);
  }
  const gpAttemptId attempt{ aTask, task.attempt_ };
  aGuard.inFlight_.insert(attempt);
  if (aGuard.health_.NoteStart()) {
    aOut.Write(TargetEvent(gpEventKind::TargetProbed, aGuard));
  }
  aOut.Write(TaskEvent(gpEventKind::TaskSent, attempt, aGuard));
  gpStart start;
  start.task_ = aTask;
  start.attempt_ = task.attempt_;
  start.key_ = job.submission_.key_;
  start.path_ = request.path_;
  start.body_ = request.body_;
  start.remaining_ = std::chrono::ceil<gpMillis>(job.deadlineAt_ - aNow);
  aOut.Send(*aGuard.link_, std::move(start));
}

void
gpEntryDispatch::Requeue(const gpAttemptId& aAttempt, gpRefusal aReason)
{
  gpTask* task = FindAttempt(aAttempt);
  if (task == nullptr) {
    return;
  }
  task->phase_ = gpTaskPhase::Waiting;
  gpJob& job = *jobs_.Find(aAttempt.task_.job_);
  const auto service = services_.find(job.submission_.service_);
  if (service == services_.end()) {
    return;
  }
  // A refusal for lack of a free slot or by a leaving target puts no load on
  // the target, so these retries are not limited.
  const bool isUnlimited =
    aReason == gpRefusal::NoSlot || aReason == gpRefusal::Leaving;
  const gpRetrySettings& retries = service->second.config_.retries_;
  const bool mayRetry =
    isUnlimited || (task->attempt_.value_ < retries.maxAttempts_ &&
                    service->second.budget_.TakeRetry());
  if (!mayRetry) {
    updates_.push_back({ job.id_, gpFailureCode::NoTarget });
    return;
  }
  PushTask(job, aAttempt.task_.task_);
}

void
gpEntryDispatch::NoteFailure(gpGuardView& aGuard, gpTime aNow, gpEffects& aOut)
{
  const auto service = services_.find(aGuard.member_.service_);
  if (service == services_.end()) {
    return;
  }
  const gpEjectionSettings& ejection = service->second.config_.ejection_;
  const bool mayEject =
    guards_.MayEject(aGuard.member_.service_, ejection.maxPercent_);
  if (aGuard.health_.NoteFailure(ejection, mayEject, aNow)) {
    aOut.Write(TargetEvent(gpEventKind::TargetEjected, aGuard));
  }
}

void
gpEntryDispatch::EndTask(gpTask& aTask, const gpStartResult& aResult)
{
  gpJob& job = *jobs_.Find(aResult.task_.job_);
  aTask.phase_ = gpTaskPhase::Ended;
  aTask.result_ = aResult.result_;
  --job.open_;
  if (aResult.end_ == gpTaskEnd::Answered) {
    updates_.push_back({ job.id_, std::nullopt });
  } else {
    updates_.push_back({ job.id_, gpFailureCode::TaskFailed });
  }
}

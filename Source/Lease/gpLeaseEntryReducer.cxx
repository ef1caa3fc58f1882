#include "gpLeaseEntryReducer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gpLeaseLines.h"
#include "gpLeaseOverdue.h"

namespace {

/// Period of housekeeping.
constexpr gpMillis kTick{ 20 };
/// Waiting tasks without room that are looked at before the others wait too.
constexpr int kMostMisses = 8;
/// Callers that are refused at a shutdown find another entry in this time.
constexpr gpMillis kShutdownRetry{ 1000 };
/// Within the time for a shutdown, this last part takes no new jobs.
constexpr gpMillis kLastJobsTime{ 1600 };

} // namespace

gpLeaseEntryReducer::gpLeaseEntryReducer(gpLeaseEntryOptions aOptions)
  : options_(std::move(aOptions))
  , finder_({ options_.self_, options_.self_.address_.value_, options_.links_ })
  , board_(options_.self_.dataCentre_)
  , admission_(board_, jobs_)
  , orders_(options_.firstRun_)
{
}

std::vector<gpLeaseEffect>
gpLeaseEntryReducer::Reduce(const gpLeaseEntryEvent& aEvent)
{
  now_ = aEvent.now_;
  mayPlace_ = true;
  std::visit([this](const auto& aInput) { On(aInput); }, aEvent.input_);
  if (mayPlace_) {
    Dispatch();
  }
  orders_.Flush(out_);
  UpdatePeers();
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
  status.entries_ = finder_.GetLinks().size();
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
      return aEntry.second.queue_.name_ == aQueue && aEntry.second.begun_ == 0;
    }));
}

bool
gpLeaseEntryReducer::HasJob(const std::string& aJob) const
{
  return jobs_.HasId(aJob);
}

void
gpLeaseEntryReducer::Refuse(const gpLeaseJobSubmitted& aEvent,
                            const gpLeaseAnswer& aAnswer)
{
  out_.Write(gpJobLine(gpEventKind::JobAnswered,
                       gpServiceName(),
                       aEvent.job_.id_,
                       gpAnswerText(aAnswer) + " version " +
                         std::to_string(queues_.version_.value_)));
  out_.Add(gpAnswerLeaseJob{ aEvent.request_, aAnswer });
}

void
gpLeaseEntryReducer::On(const gpLeaseJobSubmitted& aEvent)
{
  const gpQueue* queue = queues_.Find(aEvent.job_.host_, aEvent.job_.path_);
  const bool isConfigured = queues_.version_ != gpConfigVersion{};
  auto refusal = admission_.FindRefusal(aEvent.job_, queue, isConfigured);
  if (!refusal.has_value() && IsEnding()) {
    refusal = gpLeaseAnswer{ gpLeaseOutcome::NotRun,
                             gpLeaseReason::ShuttingDown,
                             kShutdownRetry };
  }
  if (refusal.has_value()) {
    Refuse(aEvent, *refusal);
    return;
  }
  if (gpLeaseRecord* former = jobs_.FindById(aEvent.job_.id_)) {
    // The caller lost its connection and came back before that was noticed.
    out_.Add(gpAnswerLeaseJob{
      former->request_,
      { gpLeaseOutcome::Failed, gpLeaseReason::Duplicate, std::nullopt } });
    jobs_.Rebind(*former, aEvent.request_);
    WriteJob(gpEventKind::JobAttached, *former, "submitted again");
    return;
  }
  gpLeaseRecord record = admission_.MakeRecord(aEvent, *queue, now_);
  const gpMillis wait = admission_.PredictWait(record);
  if (now_ + wait > record.startBy_) {
    Refuse(aEvent, admission_.RefuseOverloaded(record));
    return;
  }
  const gpLeaseRecord& job = jobs_.Add(std::move(record));
  WriteJob(gpEventKind::JobAdmitted,
           job,
           gpAdmittedText(job, queues_.version_, wait, now_));
}

void
gpLeaseEntryReducer::On(const gpLeaseJobCancelled& aEvent)
{
  if (gpLeaseRecord* job = jobs_.FindById(aEvent.id_)) {
    EndJob(
      *job,
      { gpLeaseOutcome::Cancelled, gpLeaseReason::CallerGone, std::nullopt });
  }
}

void
gpLeaseEntryReducer::On(const gpCallerGone& aEvent)
{
  gpLeaseRecord* job = jobs_.FindByRequest(aEvent.request_);
  if (job == nullptr) {
    return;
  }
  WriteJob(gpEventKind::CallerGone, *job, "");
  StopRuns(*job);
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
  finder_.Keep(aEvent.entries_);
}

void
gpLeaseEntryReducer::On(const gpLinkOpened& aEvent)
{
  const gpPeer& peer = aEvent.peer_;
  if (peer.role_ == gpRole::Guard) {
    guards_.insert_or_assign(aEvent.link_, peer.incarnation_);
    board_.OnLinked(peer.incarnation_, aEvent.link_);
  } else if (aEvent.dialed_.has_value()) {
    finder_.OnLinked(*aEvent.dialed_, aEvent.link_, now_);
  } else {
    peers_.insert(aEvent.link_);
    finder_.Hear({ gpKnownEntry{ peer.address_, {}, 0 } });
  }
  out_.Send(aEvent.link_, finder_.MakeNews(now_));
}

void
gpLeaseEntryReducer::On(const gpLinkLost& aEvent)
{
  finder_.OnLost(aEvent.link_, now_);
  peers_.erase(aEvent.link_);
  const auto found = guards_.find(aEvent.link_);
  if (found == guards_.end()) {
    return;
  }
  const gpIncarnation guard = found->second;
  guards_.erase(found);
  const gpTargetView* view = board_.Find(guard);
  if (view != nullptr && view->link_ == aEvent.link_) {
    LoseGuard(guard);
  }
}

void
gpLeaseEntryReducer::LoseGuard(gpIncarnation aGuard)
{
  board_.OnLost(aGuard);
  for (const auto& [job, index] :
       jobs_.ListAt(aGuard, gpLeaseTaskPhase::Sent)) {
    gpLeaseTask& task = job->tasks_[index];
    task.lostAt_ = now_;
    jobs_.TakeBack(*job, index, gpLeaseTaskPhase::Lost);
    WriteRun(gpEventKind::TaskInDoubt, *job, task.run_, aGuard, "link lost");
  }
}

void
gpLeaseEntryReducer::On(const gpDialFailed& aEvent)
{
  finder_.OnDialFailed(aEvent.address_, now_);
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
    board_.NoteEnded(guard->second, "", aMessage, now_);
    return;
  }
  board_.NoteEnded(guard->second, job->job_.id_, aMessage, now_);
  WriteRun(gpEventKind::TaskEnded,
           *job,
           aMessage.run_,
           guard->second,
           gpRunEndName(aMessage.end_));
  if (aMessage.end_ == gpRunEnd::Done) {
    // The room that it leaves is told with another message.
    mayPlace_ = job->job_.steps_.size() > 1;
    OnTaskDone(*job, index);
  } else {
    OnTaskBack(*job, index, aMessage.end_);
  }
}

void
gpLeaseEntryReducer::OnTaskDone(gpLeaseRecord& aJob, std::size_t aTask)
{
  jobs_.TakeBack(aJob, aTask, gpLeaseTaskPhase::Done);
  ++aJob.tasksDone_;
  if (aJob.tasksDone_ == aJob.tasks_.size()) {
    EndJob(aJob,
           { gpLeaseOutcome::Completed, gpLeaseReason::None, std::nullopt });
    return;
  }
  jobs_.Unblock(aJob);
}

void
gpLeaseEntryReducer::OnTaskBack(gpLeaseRecord& aJob,
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
    --aJob.begun_;
  }
  if (aEnd == gpRunEnd::Outdated) {
    orders_.SkipAhead();
  } else {
    task.avoid_.insert(task.guard_);
  }
  jobs_.TakeBack(aJob, aTask, gpLeaseTaskPhase::Waiting);
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
      OnTaskBack(*job, index, gpRunEnd::Stopped);
    }
  }
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId aLink, const gpTargetNews& aMessage)
{
  const auto guard = guards_.find(aLink);
  if (guard != guards_.end()) {
    board_.OnNews(guard->second, aMessage);
  }
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId aLink, const gpRoomReport& aMessage)
{
  const auto guard = guards_.find(aLink);
  if (guard != guards_.end()) {
    mayPlace_ = board_.OnRoom(guard->second, aMessage, now_);
  }
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId /*aLink*/, const gpEntryNews& aMessage)
{
  finder_.Hear(aMessage.entries_);
}

void
gpLeaseEntryReducer::On(const gpTimePassed&)
{
  GiveUpLate();
}

void
gpLeaseEntryReducer::On(const gpShutdownRequested&)
{
  if (shutdownAt_ != gpTime::max()) {
    return;
  }
  shutdownAt_ = now_;
  out_.Write(gpPlainLine(gpEventKind::ProcessStopping, ""));
}

void
gpLeaseEntryReducer::EndJob(gpLeaseRecord& aJob, const gpLeaseAnswer& aAnswer)
{
  WriteJob(gpEventKind::JobAnswered,
           aJob,
           gpAnswerText(aAnswer) + " after " +
             gpMillisText(now_ - aJob.arrivedAt_));
  out_.Add(gpAnswerLeaseJob{ aJob.request_, aAnswer });
  StopRuns(aJob);
  jobs_.Remove(aJob.sequence_);
}

void
gpLeaseEntryReducer::StopRuns(const gpLeaseRecord& aJob)
{
  std::map<gpLinkId, gpRunCancel> cancels;
  for (const gpLeaseTask& task : aJob.tasks_) {
    const gpTargetView* view = board_.Find(task.guard_);
    if (task.phase_ == gpLeaseTaskPhase::Sent && view != nullptr) {
      cancels[view->link_].runs_.push_back(task.run_);
    }
  }
  for (auto& [link, cancel] : cancels) {
    out_.Send(link, std::move(cancel));
  }
}

void
gpLeaseEntryReducer::GiveUpLate()
{
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, job] : jobs_.GetAll()) {
    sequences.push_back(sequence);
  }
  for (const std::uint64_t sequence : sequences) {
    GiveUpOrRecall(*jobs_.Find(sequence));
  }
}

void
gpLeaseEntryReducer::GiveUpOrRecall(gpLeaseRecord& aJob)
{
  const gpLeaseOverdue overdue = gpFindOverdue(aJob, now_);
  switch (overdue.verdict_) {
    case gpLeaseVerdict::NeverBegun:
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
  for (const std::size_t task : overdue.over_) {
    OnTaskBack(aJob, task, gpRunEnd::Stopped);
  }
  for (const std::size_t task : overdue.recalled_) {
    Recall(aJob, task);
  }
}

void
gpLeaseEntryReducer::FailJob(gpLeaseRecord& aJob, gpLeaseReason aReason)
{
  EndJob(aJob, { gpLeaseOutcome::Failed, aReason, std::nullopt });
}

void
gpLeaseEntryReducer::Recall(gpLeaseRecord& aJob, std::size_t aTask)
{
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpTargetView* view = board_.Find(task.guard_);
  if (view == nullptr) {
    return;
  }
  task.recallAt_ = gpTime::max();
  WriteRun(gpEventKind::TaskCancelled, aJob, task.run_, task.guard_, "overdue");
  out_.Send(view->link_, gpRunCancel{ { task.run_ } });
}

void
gpLeaseEntryReducer::Dispatch()
{
  // One count for tasks that need a fast target, one for the others.
  std::array<int, 2> misses{};
  std::uint64_t missedJob = 0;
  auto next = jobs_.GetWaiting().begin();
  while (next != jobs_.GetWaiting().end()) {
    const auto [hasChoice, dueAt, sequence, index] = *next++;
    int& missed = misses.at(hasChoice ? 1 : 0);
    if (sequence == missedJob || missed >= kMostMisses) {
      continue;
    }
    gpLeaseRecord& job = *jobs_.Find(sequence);
    const gpLeaseTask& task = job.tasks_[index];
    gpPlacementNeed need =
      gpLeaseAdmission::NeedOf(job, job.GetStep(task), now_);
    need.avoid_ = task.avoid_;
    const auto guard = board_.Choose(need, now_);
    if (guard.has_value()) {
      SendRun(job, index, *guard);
    } else {
      ++missed;
      missedJob = sequence;
    }
  }
}

void
gpLeaseEntryReducer::SendRun(gpLeaseRecord& aJob,
                             std::size_t aTask,
                             gpIncarnation aGuard)
{
  jobs_.Send(aJob, aTask, aGuard, orders_.NextNumber(now_));
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpJobStep& step = aJob.GetStep(task);
  task.recallAt_ = gpRecallTime(step, now_);
  board_.NoteSent(aGuard, task.run_, step.needs_, step.estimate_, now_);
  const gpTargetView& view = *board_.Find(aGuard);
  orders_.Add(view.link_, aJob.job_, task.step_, task.run_);
  WriteRun(
    gpEventKind::TaskSent, aJob, task.run_, aGuard, gpTargetText(view, now_));
}

void
gpLeaseEntryReducer::UpdatePeers()
{
  finder_.Update(now_, out_);
  for (const gpLinkId link : finder_.ListSurplus(now_)) {
    finder_.Release(link, out_);
  }
  const auto news = finder_.TakeNews(now_);
  if (!news.has_value()) {
    return;
  }
  for (const auto& [link, guard] : guards_) {
    out_.Send(link, *news);
  }
  for (const gpLinkId link : peers_) {
    out_.Send(link, *news);
  }
  for (const auto& [link, entry] : finder_.GetLinks()) {
    out_.Send(link, *news);
  }
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
  if (now_ >= end) {
    AnswerAll();
  }
  if (IsEnding() && jobs_.GetAll().empty()) {
    stopped_ = true;
    out_.Add(gpStop{});
  }
}

void
gpLeaseEntryReducer::AnswerAll()
{
  while (!jobs_.GetAll().empty()) {
    gpLeaseRecord& job = jobs_.GetAll().begin()->second;
    if (job.begun_ > 0) {
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
  out_.Write(gpJobLine(aKind, aJob.queue_.service_, aJob.job_.id_, aDetail));
}

void
gpLeaseEntryReducer::WriteRun(gpEventKind aKind,
                              const gpLeaseRecord& aJob,
                              const gpRunId& aRun,
                              gpIncarnation aGuard,
                              const std::string& aDetail)
{
  gpTimelineEvent line = gpRunLine(aKind, aJob.queue_.service_, aRun, aDetail);
  line.peer_ = aGuard;
  out_.Write(std::move(line));
}

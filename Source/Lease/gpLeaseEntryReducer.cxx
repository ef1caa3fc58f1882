#include "gpLeaseEntryReducer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "gpLeaseTimings.h"

namespace {

/// Period of housekeeping.
constexpr gpMillis kTick{ 20 };
/// A job that no task of was sent within this part of its objective is refused:
/// the caller has time left to go elsewhere.
constexpr int kStartByPart = 4;
constexpr gpMillis kShortestStartBy{ 20 };
/// An answer is sent so much before the caller stops waiting.
constexpr gpMillis kAnswerMargin{ 10 };
/// Callers that say nothing else wait so long.
constexpr gpMillis kUsualPatience{ 10000 };
/// Shortest time to come back that is told; HTTP counts in seconds.
constexpr gpMillis kShortestRetry{ 1000 };
constexpr gpMillis kLongestRetry{ 10000 };
/// A guard whose link broke is linked again sooner, if it can be reached.
constexpr gpMillis kRelinkTime{ 300 };
/// No task takes less than this part of its estimate.
constexpr double kLeastOfEstimate = 0.3;
/// A run that takes so many times its estimate, and the pause, is stopped and
/// placed elsewhere. Estimates are off by up to a half, and targets differ in
/// speed by over two.
constexpr double kRecallFactor = 4.0;
constexpr gpMillis kRecallPause{ 150 };
/// A job is due so many times its expected length before its caller leaves.
constexpr double kLengthMargin = 1.5;
/// Waiting tasks without room that are looked at before the others wait too.
constexpr int kMostMisses = 8;
/// Added to a run number when a target has seen a higher one, in ms.
constexpr std::uint64_t kRunNumberStep = 60000;
/// Within the time for a shutdown, this last part takes no new jobs.
constexpr gpMillis kLastJobsTime{ 1600 };

gpMillis
Scaled(gpMillis aTime, double aFactor)
{
  return gpMillis(std::llround(static_cast<double>(aTime.count()) * aFactor));
}

std::string
MillisText(gpMicros aTime)
{
  return std::to_string(std::chrono::duration_cast<gpMillis>(aTime).count()) +
         " ms";
}

} // namespace

gpLeaseEntryReducer::gpLeaseEntryReducer(gpLeaseEntryOptions aOptions)
  : options_(std::move(aOptions))
  , finder_(options_.address_)
  , board_(options_.dataCentre_)
{
}

std::vector<gpLeaseEffect>
gpLeaseEntryReducer::Reduce(const gpLeaseEntryEvent& aEvent)
{
  now_ = aEvent.now_;
  if (startedAt_ == gpTime{}) {
    startedAt_ = now_;
  }
  std::visit([this](const auto& aInput) { On(aInput); }, aEvent.input_);
  Dispatch();
  FlushOrders();
  TellPeers();
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

std::optional<gpLeaseAnswer>
gpLeaseEntryReducer::FindRefusal(const gpLeaseJob& aJob,
                                 const gpQueue* aQueue) const
{
  using Outcome = gpLeaseOutcome;
  using Reason = gpLeaseReason;
  const gpMillis soon = kShortestRetry;
  if (queues_.version_ == gpConfigVersion{}) {
    return gpLeaseAnswer{ Outcome::NotRun, Reason::NoConfiguration, soon };
  }
  if (aQueue == nullptr) {
    return gpLeaseAnswer{ Outcome::NoQueue, Reason::None, std::nullopt };
  }
  const bool isEnding =
    shutdownAt_ != gpTime::max() &&
    now_ >= shutdownAt_ + options_.shutdown_ - kLastJobsTime;
  if (isEnding) {
    return gpLeaseAnswer{ Outcome::NotRun, Reason::ShuttingDown, soon };
  }
  if (!board_.HasTarget(aQueue->service_)) {
    return gpLeaseAnswer{ Outcome::NotRun, Reason::NoTarget, soon };
  }
  for (const gpJobStep& step : aJob.steps_) {
    if (!board_.CouldHold(aQueue->service_, step.needs_)) {
      return gpLeaseAnswer{ Outcome::NotRun, Reason::TooLarge, std::nullopt };
    }
  }
  return std::nullopt;
}

gpMillis
gpLeaseEntryReducer::PredictWait(const gpLeaseRecord& aJob) const
{
  double work = 0;
  for (const auto& key : jobs_.GetWaiting()) {
    const gpLeaseRecord& job = jobs_.GetAll().at(key.job_);
    if (job.needsFast_ != aJob.needsFast_ || job.dueAt_ > aJob.dueAt_) {
      continue;
    }
    const gpJobStep& step = job.GetStep(job.tasks_[key.task_]);
    work += static_cast<double>(step.needs_.milliCores_) *
            static_cast<double>(step.estimate_.count());
  }
  const double entries = static_cast<double>(finder_.GetLinks().size() + 1);
  const double capacity = board_.GetCapacity(aJob.queue_.service_) / entries;
  if (work == 0 || capacity == 0) {
    return gpMillis(0);
  }
  return gpMillis(std::llround(work / capacity));
}

gpPlacementNeed
gpLeaseEntryReducer::NeedOf(const gpLeaseRecord& aJob,
                            const gpJobStep& aStep) const
{
  const auto waited =
    std::chrono::duration_cast<gpMillis>(now_ - aJob.arrivedAt_);
  gpPlacementNeed need;
  need.service_ = aJob.queue_.service_;
  need.needs_ = aStep.needs_;
  need.estimate_ = aStep.estimate_;
  need.stretch_ = aJob.queue_.stretch_;
  need.allowance_ = aJob.queue_.allowance_ - waited;
  need.patience_ = std::chrono::duration_cast<gpMillis>(aJob.deadline_ - now_);
  return need;
}

void
gpLeaseEntryReducer::Refuse(const gpLeaseJobSubmitted& aEvent,
                            const gpLeaseAnswer& aAnswer)
{
  gpTimelineEvent event;
  event.kind_ = gpEventKind::JobAnswered;
  event.key_ =
    gpServiceKey{ gpServiceName(), gpSubmissionKey(aEvent.job_.id_) };
  event.detail_ = gpLeaseOutcomeName(aAnswer.outcome_) + " " +
                  gpLeaseReasonName(aAnswer.reason_) + " version " +
                  std::to_string(queues_.version_.value_);
  out_.Write(std::move(event));
  out_.Add(gpAnswerLeaseJob{ aEvent.request_, aAnswer });
}

void
gpLeaseEntryReducer::On(const gpLeaseJobSubmitted& aEvent)
{
  const gpQueue* queue = queues_.Find(aEvent.job_.host_, aEvent.job_.path_);
  if (const auto refusal = FindRefusal(aEvent.job_, queue)) {
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
  gpLeaseRecord record;
  record.request_ = aEvent.request_;
  record.job_ = aEvent.job_;
  for (gpJobStep& step : record.job_.steps_) {
    step.estimate_ = lengths_.Predict(queue->name_, step.estimate_);
  }
  record.queue_ = *queue;
  record.arrivedAt_ = now_;
  gpMillis patience = aEvent.job_.patience_ > gpMillis(0)
                        ? aEvent.job_.patience_
                        : kUsualPatience;
  if (queue->timeout_ > gpMillis(0)) {
    patience = std::min(patience, queue->timeout_);
  }
  record.deadline_ = now_ + patience - kAnswerMargin;
  const gpMillis objective =
    Scaled(record.GetChain(), queue->stretch_) + queue->allowance_;
  record.objective_ = now_ + objective;
  const gpMillis startBy = std::max(kShortestStartBy, objective / kStartByPart);
  record.startBy_ = now_ + startBy;
  // Long jobs have to start soon, or their caller has left.
  record.dueAt_ =
    std::min(record.startBy_,
             record.deadline_ - Scaled(record.GetChain(), kLengthMargin));
  record.needsFast_ =
    board_.NeedsFast(NeedOf(record, record.job_.steps_[0]), now_);
  const gpMillis wait = PredictWait(record);
  if (wait > startBy) {
    Refuse(aEvent,
           { gpLeaseOutcome::NotRun,
             gpLeaseReason::Overloaded,
             std::clamp(wait, kShortestRetry, kLongestRetry) });
    return;
  }
  const gpLeaseRecord& job = jobs_.Add(std::move(record));
  WriteJob(gpEventKind::JobAdmitted,
           job,
           "queue " + queue->name_.value_ + " version " +
             std::to_string(queues_.version_.value_) + " tasks " +
             std::to_string(job.tasks_.size()) + " estimate " +
             std::to_string(job.GetChain().count()) + " ms patience " +
             std::to_string(patience.count()) + " ms wait " +
             std::to_string(wait.count()) + " ms");
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
  queuesAt_ = now_;
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ConfigurationInForce;
  event.number_ = queues_.version_.value_;
  event.detail_ = std::to_string(queues_.queues_.size()) + " queues";
  out_.Write(std::move(event));
}

void
gpLeaseEntryReducer::On(const gpEntriesFound& aEvent)
{
  finder_.Keep(aEvent.entries_, now_, out_);
}

void
gpLeaseEntryReducer::On(const gpLinkOpened& aEvent)
{
  const gpPeer& peer = aEvent.peer_;
  if (peer.role_ == gpRole::Guard) {
    guards_.insert_or_assign(aEvent.link_, peer.incarnation_);
    board_.OnLinked(peer.incarnation_, aEvent.link_);
    out_.Send(aEvent.link_, finder_.MakeNews());
    return;
  }
  if (aEvent.dialed_.has_value()) {
    finder_.OnLinked(*aEvent.dialed_, aEvent.link_, now_);
    tellPeers_ = true;
  } else {
    peers_.insert(aEvent.link_);
    finder_.Hear({ peer.address_ }, now_, out_);
  }
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
  for (auto& [sequence, job] : jobs_.GetAll()) {
    for (std::size_t index = 0; index < job.tasks_.size(); ++index) {
      gpLeaseTask& task = job.tasks_[index];
      if (task.phase_ == gpLeaseTaskPhase::Sent && task.guard_ == aGuard) {
        task.lostAt_ = now_;
        jobs_.TakeBack(job, index, gpLeaseTaskPhase::Lost);
        WriteRun(gpEventKind::TaskInDoubt, job, task.run_, aGuard, "link lost");
      }
    }
  }
}

void
gpLeaseEntryReducer::On(const gpDialFailed& aEvent)
{
  finder_.OnDialFailed(aEvent.address_, now_, out_);
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
    board_.NoteEnded(guard->second, "", aMessage, gpMillis(0), now_);
    return;
  }
  const gpLeaseTask& task = job->tasks_[index];
  board_.NoteEnded(
    guard->second, job->job_.id_, aMessage, job->GetStep(task).estimate_, now_);
  WriteRun(gpEventKind::TaskEnded,
           *job,
           aMessage.run_,
           guard->second,
           gpRunEndName(aMessage.end_));
  if (aMessage.end_ == gpRunEnd::Done) {
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
      EndJob(
        aJob,
        { gpLeaseOutcome::Failed, gpLeaseReason::TaskFailed, std::nullopt });
      return;
    }
  } else if (aEnd != gpRunEnd::Stopped) {
    --aJob.begun_;
  }
  if (aEnd == gpRunEnd::Outdated) {
    lastRun_ += kRunNumberStep;
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
  for (auto& [sequence, job] : jobs_.GetAll()) {
    for (std::size_t index = 0; index < job.tasks_.size(); ++index) {
      const gpLeaseTask& task = job.tasks_[index];
      if (task.phase_ == gpLeaseTaskPhase::Lost &&
          task.guard_ == guard->second && !held.contains(task.run_)) {
        OnTaskBack(job, index, gpRunEnd::Stopped);
      }
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
    board_.OnRoom(guard->second, aMessage, now_);
  }
}

void
gpLeaseEntryReducer::OnMessage(gpLinkId /*aLink*/,
                               const gpEntryAddresses& aMessage)
{
  finder_.Hear(aMessage.entries_, now_, out_);
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
  gpTimelineEvent event;
  event.kind_ = gpEventKind::ProcessStopping;
  out_.Write(std::move(event));
}

void
gpLeaseEntryReducer::EndJob(gpLeaseRecord& aJob, const gpLeaseAnswer& aAnswer)
{
  const auto took =
    std::chrono::duration_cast<gpMillis>(now_ - aJob.arrivedAt_);
  WriteJob(gpEventKind::JobAnswered,
           aJob,
           gpLeaseOutcomeName(aAnswer.outcome_) + " " +
             gpLeaseReasonName(aAnswer.reason_) + " after " +
             std::to_string(took.count()) + " ms");
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
  if (aJob.begun_ == 0 && now_ >= aJob.startBy_) {
    EndJob(aJob,
           { gpLeaseOutcome::NotRun,
             gpLeaseReason::Overloaded,
             std::clamp(PredictWait(aJob), kShortestRetry, kLongestRetry) });
    return;
  }
  if (now_ >= aJob.deadline_) {
    EndJob(aJob,
           { gpLeaseOutcome::Failed,
             gpLeaseReason::DeadlineExceeded,
             std::nullopt });
    return;
  }
  for (std::size_t index = 0; index < aJob.tasks_.size(); ++index) {
    const gpLeaseTask& task = aJob.tasks_[index];
    const gpTime earliestEnd =
      now_ + Scaled(aJob.GetStep(task).estimate_, kLeastOfEstimate);
    if (task.phase_ == gpLeaseTaskPhase::Waiting &&
        earliestEnd >= aJob.deadline_) {
      EndJob(aJob,
             { gpLeaseOutcome::Failed,
               gpLeaseReason::DeadlineExceeded,
               std::nullopt });
      return;
    }
    if (task.phase_ == gpLeaseTaskPhase::Lost && !AwaitLost(aJob, index)) {
      return;
    }
    Recall(aJob, index);
  }
}

bool
gpLeaseEntryReducer::AwaitLost(gpLeaseRecord& aJob, std::size_t aTask)
{
  const gpLeaseTask& task = aJob.tasks_[aTask];
  const gpTime freeAt = task.lostAt_ + kLinkLossBound;
  if (now_ >= freeAt) {
    OnTaskBack(aJob, aTask, gpRunEnd::Stopped);
    return true;
  }
  const gpTime earliestEnd =
    freeAt + Scaled(aJob.GetStep(task).estimate_, kLeastOfEstimate);
  if (now_ >= task.lostAt_ + kRelinkTime && earliestEnd >= aJob.deadline_) {
    EndJob(aJob,
           { gpLeaseOutcome::Failed, gpLeaseReason::TargetLost, std::nullopt });
    return false;
  }
  return true;
}

void
gpLeaseEntryReducer::Recall(gpLeaseRecord& aJob, std::size_t aTask)
{
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpTargetView* view = board_.Find(task.guard_);
  if (task.phase_ != gpLeaseTaskPhase::Sent || now_ < task.recallAt_ ||
      view == nullptr) {
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
    gpPlacementNeed need = NeedOf(job, job.GetStep(task));
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
  const auto elapsed =
    std::chrono::duration_cast<gpMillis>(now_ - startedAt_).count();
  lastRun_ = std::max(lastRun_ + 1, static_cast<std::uint64_t>(elapsed));
  jobs_.Send(aJob, aTask, aGuard, options_.firstRun_ + lastRun_);
  gpLeaseTask& task = aJob.tasks_[aTask];
  const gpJobStep& step = aJob.GetStep(task);
  task.recallAt_ = now_ + kRecallPause + Scaled(step.estimate_, kRecallFactor);
  board_.NoteSent(aGuard, task.run_, step.needs_, step.estimate_, now_);
  const gpTargetView& view = *board_.Find(aGuard);
  gpRunOrder& order =
    orders_[OrderKey{ view.link_, aJob.job_.id_, task.step_ }];
  order.spec_ = aJob.job_.spec_;
  order.needs_ = step.needs_;
  order.runs_.push_back(task.run_);
  WriteRun(
    gpEventKind::TaskSent,
    aJob,
    task.run_,
    aGuard,
    "free " + std::to_string(view.GetFree().milliCores_) + " mcores as of " +
      MillisText(now_ - view.reportedAt_) + " ago, slowness " +
      std::to_string(Scaled(gpMillis(100), view.slowness_).count()) + " %");
}

void
gpLeaseEntryReducer::FlushOrders()
{
  for (auto& [key, order] : std::exchange(orders_, {})) {
    out_.Send(std::get<gpLinkId>(key), std::move(order));
  }
}

void
gpLeaseEntryReducer::TellPeers()
{
  const bool changed = finder_.TakeChanged();
  if (!changed && !std::exchange(tellPeers_, false)) {
    return;
  }
  const gpEntryAddresses news = finder_.MakeNews();
  for (const auto& [link, guard] : guards_) {
    out_.Send(link, news);
  }
  for (const gpLinkId link : peers_) {
    out_.Send(link, news);
  }
}

void
gpLeaseEntryReducer::ContinueShutdown()
{
  if (shutdownAt_ == gpTime::max() || stopped_) {
    return;
  }
  const gpTime end = shutdownAt_ + options_.shutdown_;
  const bool isIdle = now_ >= end - kLastJobsTime && jobs_.GetAll().empty();
  if (isIdle || now_ >= end) {
    stopped_ = true;
    out_.Add(gpStop{});
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
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.key_ =
    gpServiceKey{ aJob.queue_.service_, gpSubmissionKey(aJob.job_.id_) };
  event.detail_ = aDetail;
  out_.Write(std::move(event));
}

void
gpLeaseEntryReducer::WriteRun(gpEventKind aKind,
                              const gpLeaseRecord& aJob,
                              const gpRunId& aRun,
                              gpIncarnation aGuard,
                              const std::string& aDetail)
{
  gpTimelineEvent event;
  event.kind_ = aKind;
  event.key_ =
    gpServiceKey{ aJob.queue_.service_, gpSubmissionKey(aRun.task_) };
  event.number_ = aRun.number_;
  event.peer_ = aGuard;
  event.detail_ = aDetail;
  out_.Write(std::move(event));
}

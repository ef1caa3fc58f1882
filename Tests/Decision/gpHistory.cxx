#include "gpHistory.h"

#include <algorithm>
#include <sstream>

#include <boost/random/uniform_int_distribution.hpp>

namespace {

const gpServiceName kService("service");
const gpTeamName kTeam("team");
constexpr std::size_t kTraceLength = 400;
constexpr std::uint32_t kSlots = 2;

gpVersionedConfiguration
MakeConfiguration()
{
  gpServiceConfig service;
  service.name_ = kService;
  gpTeamConfig team;
  team.name_ = kTeam;
  team.services_ = { kService };
  gpVersionedConfiguration versioned;
  versioned.version_ = gpConfigVersion(1);
  versioned.configuration_.services_.emplace(kService, service);
  versioned.configuration_.teams_.emplace(kTeam, team);
  return versioned;
}

std::string
ResultBody(const std::string& aKey, std::uint32_t aTask)
{
  return aKey + "/" + std::to_string(aTask);
}

} // namespace

gpHistory::gpHistory(gpHistoryOptions aOptions)
  : options_(aOptions)
  , generator_(aOptions.seed_)
{
  rosters_.emplace_back();
  for (std::size_t slot = 0; slot < options_.entries_; ++slot) {
    AddEntry(slot);
  }
  for (std::size_t slot = 0; slot < options_.guards_; ++slot) {
    AddGuard(slot);
  }
  WarmUp();
}

std::vector<std::string>
gpHistory::Run()
{
  for (std::size_t step = 0; step < options_.steps_ && violations_.empty();
       ++step) {
    Step();
  }
  return violations_;
}

std::string
gpHistory::DescribeEnd() const
{
  std::ostringstream text;
  text << "seed " << options_.seed_ << "\n";
  for (const std::string& line : trace_) {
    text << "  " << line << "\n";
  }
  return text.str();
}

std::size_t
gpHistory::CountStarts() const
{
  return starts_.size();
}

std::size_t
gpHistory::Draw(std::size_t aCount)
{
  boost::random::uniform_int_distribution<std::size_t> pick(0, aCount - 1);
  return pick(generator_);
}

bool
gpHistory::Chance(unsigned aPerThousand)
{
  return Draw(1000) < aPerThousand;
}

void
gpHistory::AddEntry(std::size_t aSlot)
{
  Process process;
  process.peer_.role_ = gpRole::Entry;
  process.peer_.name_ = "entry-" + std::to_string(aSlot);
  process.peer_.incarnation_ = gpIncarnation(++lastIncarnation_);
  process.peer_.address_ = gpAddress(process.peer_.name_);
  process.entry_ = std::make_unique<gpEntryReducer>(
    process.peer_, gpTimings{}, process.peer_.incarnation_.value_);
  byAddress_[process.peer_.address_] = processes_.size();
  processes_.push_back(std::move(process));
  HandleInput(processes_.size() - 1,
              gpConfigurationChanged{ MakeConfiguration() });
}

void
gpHistory::AddGuard(std::size_t aSlot)
{
  Process process;
  process.peer_.role_ = gpRole::Guard;
  process.peer_.name_ = "guard-" + std::to_string(aSlot);
  process.peer_.incarnation_ = gpIncarnation(++lastIncarnation_);
  process.peer_.address_ = gpAddress(process.peer_.name_);
  gpMember member;
  member.guard_ = process.peer_.incarnation_;
  member.address_ = process.peer_.address_;
  member.dataCentre_ = gpDataCentreName("dc" + std::to_string(aSlot % 3));
  member.rack_ = gpRackName("rack" + std::to_string(aSlot));
  process.guard_ = std::make_unique<gpGuardReducer>(member, gpTimings{});
  byAddress_[process.peer_.address_] = processes_.size();
  processes_.push_back(std::move(process));
  const std::size_t self = processes_.size() - 1;
  // A guard announces its target only after it has read all rosters.
  processes_[self].rosterRead_ = rosters_.size();
  HandleInput(self, gpRosterChanged{ rosters_.back(), true });
  HandleInput(self, gpLogContacted{});
  HandleInput(self, gpConfigurationChanged{ MakeConfiguration() });
  HandleInput(self, gpTargetAnnounced{ kService, gpAddress("target"), kSlots });
}

void
gpHistory::WarmUp()
{
  const gpHistoryOptions faulty = options_;
  options_.duplicate_ = 0;
  options_.reorder_ = 0;
  constexpr int kRounds = 150;
  for (int round = 0; round < kRounds; ++round) {
    DialWatched();
    ReadRoster();
    DeliverMessage();
    DeliverMessage();
    if (round % 10 == 0) {
      PassTime();
    }
  }
  options_ = faulty;
}

void
gpHistory::Step()
{
  using Action = void (gpHistory::*)();
  // Actions that should be more frequent are listed several times.
  static constexpr Action kActions[] = {
    &gpHistory::Submit,         &gpHistory::DeliverMessage,
    &gpHistory::DeliverMessage, &gpHistory::DeliverMessage,
    &gpHistory::DeliverMessage, &gpHistory::DeliverMessage,
    &gpHistory::DeliverMessage, &gpHistory::DialWatched,
    &gpHistory::DialWatched,    &gpHistory::ReadRoster,
    &gpHistory::ReadRoster,     &gpHistory::ReplyCall,
    &gpHistory::PassTime,
  };
  (this->*kActions[Draw(std::size(kActions))])();
  if (Chance(options_.breakLink_)) {
    BreakLink();
  }
  if (Chance(options_.killEntry_)) {
    KillSome(gpRole::Entry);
  }
  if (Chance(options_.killGuard_)) {
    KillSome(gpRole::Guard);
  }
  if (Chance(options_.shutdown_)) {
    ShutDownSome(gpRole::Entry);
  }
  if (Chance(options_.drain_)) {
    ShutDownSome(gpRole::Guard);
  }
  if (Chance(options_.killGuard_)) {
    RemoveDead();
  }
}

void
gpHistory::Reduce(std::size_t aProcess, gpEntryEvent aEvent)
{
  aEvent.now_ = now_;
  ApplyEffects(aProcess, processes_[aProcess].entry_->Reduce(aEvent));
}

void
gpHistory::Reduce(std::size_t aProcess, gpGuardEvent aEvent)
{
  aEvent.now_ = now_;
  ApplyEffects(aProcess, processes_[aProcess].guard_->Reduce(aEvent));
}

template<typename Input>
void
gpHistory::HandleInput(std::size_t aProcess, Input aInput)
{
  if constexpr (std::is_constructible_v<decltype(gpEntryEvent::input_),
                                        Input>) {
    if (processes_[aProcess].entry_) {
      gpEntryEvent event;
      event.input_ = aInput;
      Reduce(aProcess, std::move(event));
      return;
    }
  }
  if constexpr (std::is_constructible_v<decltype(gpGuardEvent::input_),
                                        Input>) {
    if (processes_[aProcess].guard_) {
      gpGuardEvent event;
      event.input_ = aInput;
      Reduce(aProcess, std::move(event));
    }
  }
}

void
gpHistory::ApplyEffects(std::size_t aProcess,
                        const std::vector<gpEffect>& aEffects)
{
  for (const gpEffect& effect : aEffects) {
    std::visit([&](const auto& aEffect) { Apply(aProcess, aEffect); }, effect);
  }
}

void
gpHistory::Apply(std::size_t aProcess, const gpSend& aEffect)
{
  const auto found = links_.find(aEffect.link_.value_);
  if (found == links_.end()) {
    return;
  }
  Link& link = found->second;
  const std::size_t end = link.from_ == aProcess ? 0 : 1;
  if (link.open_[end]) {
    link.queues_[end].push_back(aEffect.message_);
  }
}

void
gpHistory::Apply(std::size_t, const gpAnswerCaller& aEffect)
{
  Submission& submission = submissions_.at(aEffect.request_);
  if (submission.answered_) {
    ReportViolation("a request was answered twice");
  }
  submission.answered_ = true;
  CheckAnswer(submission, aEffect.answer_);
}

void
gpHistory::Apply(std::size_t aProcess, const gpWatchAddress& aEffect)
{
  processes_[aProcess].watched_.insert(aEffect.address_);
}

void
gpHistory::Apply(std::size_t aProcess, const gpUnwatchAddress& aEffect)
{
  processes_[aProcess].watched_.erase(aEffect.address_);
}

void
gpHistory::Apply(std::size_t aProcess, const gpWakeAt& aEffect)
{
  processes_[aProcess].wakeAt_ = aEffect.when_;
}

void
gpHistory::Apply(std::size_t aProcess, const gpWriteTimeline& aEffect)
{
  const gpTimelineEvent& event = aEffect.event_;
  std::ostringstream line;
  line << processes_[aProcess].peer_.name_ << "#"
       << processes_[aProcess].peer_.incarnation_.value_ << " "
       << gpEventKindName(event.kind_);
  if (event.key_.has_value()) {
    line << " key=" << event.key_->key_.value_;
  }
  if (event.job_.has_value()) {
    line << " job=" << event.job_->entry_.value_ << "-"
         << event.job_->sequence_;
  }
  if (event.task_.has_value()) {
    line << " task=" << event.task_->value_;
  }
  if (event.number_.has_value()) {
    line << " n=" << *event.number_;
  }
  line << " " << event.detail_;
  trace_.push_back(line.str());
  if (trace_.size() > kTraceLength) {
    trace_.pop_front();
  }
  CheckWon(event);
}

void
gpHistory::Apply(std::size_t, const gpJoinRoster& aEffect)
{
  gpRoster roster = rosters_.back();
  roster.epoch_ = gpRosterEpoch(rosters_.size());
  roster.members_.insert_or_assign(aEffect.member_.guard_, aEffect.member_);
  if (roster.members_.size() >= 2) {
    roster.claimableServices_[kService] = true;
  }
  rosters_.push_back(std::move(roster));
}

void
gpHistory::Apply(std::size_t, const gpRemoveMembers& aEffect)
{
  gpRoster roster = rosters_.back();
  std::size_t removed = 0;
  for (const gpIncarnation guard : aEffect.guards_) {
    removed += roster.members_.erase(guard);
  }
  if (removed > 0) {
    roster.epoch_ = gpRosterEpoch(rosters_.size());
    rosters_.push_back(std::move(roster));
  }
}

void
gpHistory::Apply(std::size_t aProcess, const gpCallTarget& aEffect)
{
  Process& process = processes_[aProcess];
  if (process.leaving_) {
    ReportViolation("a task was started on a leaving target");
  }
  process.calls_.insert(aEffect.attempt_);
  process.starts_[aEffect.attempt_] = aEffect.start_;
  const std::string key = aEffect.start_.key_->value_;
  const StartKey start{ key, aEffect.attempt_.task_.task_.value_ };
  if (++starts_[start] > 1) {
    ReportViolation("task " + key + "/" + std::to_string(start.task_) +
                    " started twice");
  }
}

void
gpHistory::Apply(std::size_t aProcess, const gpAbortCall& aEffect)
{
  processes_[aProcess].calls_.erase(aEffect.attempt_);
}

void
gpHistory::Apply(std::size_t, const gpReleaseTarget&)
{
}

void
gpHistory::Apply(std::size_t aProcess, const gpStop&)
{
  Process& process = processes_[aProcess];
  if (process.guard_ && !process.calls_.empty()) {
    ReportViolation("a guard stopped gracefully with open calls to its target");
  }
  Kill(aProcess);
}

void
gpHistory::Submit()
{
  const std::vector<std::size_t> entries = ListAlive(gpRole::Entry);
  if (entries.empty()) {
    return;
  }
  const std::size_t number = Draw(options_.keys_);
  Submission submission;
  submission.key_ = "k" + std::to_string(number);
  submission.tasks_ = 1 + number;
  gpJobSubmitted event;
  event.request_ = gpRequestId(++lastRequest_);
  event.submission_.service_ = kService;
  event.submission_.team_ = kTeam;
  event.submission_.key_ = gpSubmissionKey(submission.key_);
  event.submission_.deadline_ = gpMillis(10000);
  event.submission_.digest_ = gpDigest::Of(submission.key_);
  event.submission_.tasks_.resize(submission.tasks_);
  submissions_.emplace(event.request_, submission);
  HandleInput(entries[Draw(entries.size())], event);
}

void
gpHistory::DeliverMessage()
{
  std::vector<std::pair<std::uint64_t, std::size_t>> ready;
  for (const auto& [number, link] : links_) {
    for (std::size_t end = 0; end < 2; ++end) {
      if (!link.queues_[end].empty() && link.open_[1 - end]) {
        ready.emplace_back(number, end);
      }
    }
  }
  if (ready.empty()) {
    return;
  }
  const auto [number, end] = ready[Draw(ready.size())];
  Link& link = links_.at(number);
  auto& queue = link.queues_[end];
  const std::size_t position =
    Chance(options_.reorder_) ? Draw(queue.size()) : 0;
  const gpMessage message = queue[position];
  queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
  link.delivered_[end].push_back(message);
  const std::size_t receiver = end == 0 ? link.to_ : link.from_;
  HandleInput(receiver, gpMessageReceived{ gpLinkId(number), message });
  if (Chance(options_.duplicate_)) {
    const auto again = links_.find(number);
    if (again != links_.end() && again->second.open_[1 - end]) {
      const auto& delivered = again->second.delivered_[end];
      const gpMessage old = delivered[Draw(delivered.size())];
      HandleInput(receiver, gpMessageReceived{ gpLinkId(number), old });
    }
  }
}

void
gpHistory::DialWatched()
{
  std::vector<std::pair<std::size_t, std::size_t>> ready;
  for (std::size_t from = 0; from < processes_.size(); ++from) {
    if (!processes_[from].alive_) {
      continue;
    }
    for (const gpAddress& address : processes_[from].watched_) {
      const std::size_t to = byAddress_.at(address);
      const bool linked = std::ranges::any_of(links_, [&](const auto& aEntry) {
        return aEntry.second.from_ == from && aEntry.second.to_ == to &&
               aEntry.second.open_[0];
      });
      if (!linked && to != from) {
        ready.emplace_back(from, to);
      }
    }
  }
  if (ready.empty()) {
    return;
  }
  const auto [from, to] = ready[Draw(ready.size())];
  const gpAddress address = processes_[to].peer_.address_;
  if (!processes_[to].alive_) {
    HandleInput(from, gpDialFailed{ address, gpErrorCode::ConnectRefused });
    return;
  }
  // An acceptor closes an older link of the same dialer before it opens a new
  // one.
  for (auto& [number, link] : links_) {
    if (link.from_ == from && link.to_ == to && link.open_[1]) {
      CloseEnd(number, 1);
    }
  }
  const std::uint64_t number = ++lastLink_;
  Link link;
  link.from_ = from;
  link.to_ = to;
  links_.emplace(number, std::move(link));
  const gpPeer dialer = processes_[from].peer_;
  const gpPeer acceptor = processes_[to].peer_;
  HandleInput(to, gpLinkOpened{ gpLinkId(number), dialer, std::nullopt });
  HandleInput(from, gpLinkOpened{ gpLinkId(number), acceptor, address });
}

void
gpHistory::ReadRoster()
{
  std::vector<std::size_t> behind;
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    const Process& process = processes_[index];
    if (process.alive_ && process.rosterRead_ < rosters_.size()) {
      behind.push_back(index);
    }
  }
  if (behind.empty()) {
    return;
  }
  const std::size_t reader = behind[Draw(behind.size())];
  const gpRoster roster = rosters_[processes_[reader].rosterRead_++];
  if (roster.epoch_ != gpRosterEpoch{}) {
    HandleInput(reader, gpRosterChanged{ roster, true });
  }
  HandleInput(reader, gpLogContacted{});
}

void
gpHistory::ReplyCall()
{
  std::vector<std::pair<std::size_t, gpAttemptId>> calls;
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    for (const gpAttemptId& attempt : processes_[index].calls_) {
      if (processes_[index].alive_) {
        calls.emplace_back(index, attempt);
      }
    }
  }
  if (calls.empty()) {
    return;
  }
  const auto [guard, attempt] = calls[Draw(calls.size())];
  processes_[guard].calls_.erase(attempt);
  const gpStart& start = processes_[guard].starts_.at(attempt);
  gpTargetReplied reply;
  reply.attempt_ = attempt;
  reply.sent_ = true;
  reply.runTime_ = gpMillis(1);
  if (!Chance(50)) {
    reply.response_ = gpTaskResult{
      200, ResultBody(start.key_->value_, attempt.task_.task_.value_)
    };
  }
  HandleInput(guard, reply);
}

void
gpHistory::PassTime()
{
  now_ += gpMillis(1 + Draw(Chance(50) ? 3000 : 60));
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    Process& process = processes_[index];
    // A process whose timer is due and that gets no event simulates a paused
    // process.
    if (process.alive_ && process.wakeAt_ <= now_ && !Chance(300)) {
      process.wakeAt_ = gpTime::max();
      HandleInput(index, gpTimePassed{});
    }
  }
}

void
gpHistory::BreakLink()
{
  if (links_.empty()) {
    return;
  }
  auto chosen = links_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(Draw(links_.size())));
  // Only one end notices the loss now; the other may notice it much later.
  CloseEnd(chosen->first, Draw(2));
}

void
gpHistory::CloseEnd(std::size_t aLink, std::size_t aEnd)
{
  Link& link = links_.at(aLink);
  if (!link.open_[aEnd]) {
    return;
  }
  link.open_[aEnd] = false;
  const std::size_t process = aEnd == 0 ? link.from_ : link.to_;
  if (processes_[process].alive_) {
    HandleInput(process,
                gpLinkLost{ gpLinkId(aLink), gpErrorCode::LinkClosed });
  }
}

void
gpHistory::Kill(std::size_t aProcess)
{
  Process& process = processes_[aProcess];
  process.alive_ = false;
  process.calls_.clear();
  for (auto& [number, link] : links_) {
    if (link.from_ == aProcess) {
      link.open_[0] = false;
    }
    if (link.to_ == aProcess) {
      link.open_[1] = false;
    }
  }
  trace_.push_back(process.peer_.name_ + "#" +
                   std::to_string(process.peer_.incarnation_.value_) +
                   " ended");
}

void
gpHistory::KillSome(gpRole aRole)
{
  const std::vector<std::size_t> alive = ListAlive(aRole);
  if (alive.empty()) {
    return;
  }
  const std::size_t victim = alive[Draw(alive.size())];
  Kill(victim);
  const std::string name = processes_[victim].peer_.name_;
  const std::size_t slot = name.back() - '0';
  if (Chance(700)) {
    aRole == gpRole::Entry ? AddEntry(slot) : AddGuard(slot);
  }
}

void
gpHistory::ShutDownSome(gpRole aRole)
{
  const std::vector<std::size_t> alive = ListAlive(aRole);
  if (alive.size() < 2) {
    return;
  }
  const std::size_t process = alive[Draw(alive.size())];
  if (aRole == gpRole::Guard && Chance(500)) {
    HandleInput(process, gpTargetLeft{});
  } else {
    HandleInput(process, gpShutdownRequested{});
  }
  processes_[process].leaving_ = true;
}

void
gpHistory::RemoveDead()
{
  gpRemoveMembers removal;
  for (const Process& process : processes_) {
    if (!process.alive_ && process.guard_) {
      removal.guards_.push_back(process.peer_.incarnation_);
    }
  }
  Apply(0, removal);
}

std::vector<std::size_t>
gpHistory::ListAlive(gpRole aRole) const
{
  std::vector<std::size_t> alive;
  for (std::size_t index = 0; index < processes_.size(); ++index) {
    if (processes_[index].alive_ && processes_[index].peer_.role_ == aRole) {
      alive.push_back(index);
    }
  }
  return alive;
}

void
gpHistory::ReportViolation(std::string aWhat)
{
  violations_.push_back(std::move(aWhat));
}

void
gpHistory::CheckAnswer(const Submission& aSubmission, const gpAnswer& aAnswer)
{
  const std::string& key = aSubmission.key_;
  if (const auto* complete = std::get_if<gpComplete>(&aAnswer)) {
    ++complete_;
    if (complete->results_.size() != aSubmission.tasks_) {
      ReportViolation("wrong number of results in the complete answer for " +
                      key);
      return;
    }
    for (std::uint32_t task = 0; task < complete->results_.size(); ++task) {
      if (complete->results_[task].body_ != ResultBody(key, task)) {
        ReportViolation("a result of another task in the complete answer for " +
                        key);
      }
    }
    const auto [found, isNew] = completed_.emplace(key, aAnswer);
    if (!isNew && found->second != aAnswer) {
      ReportViolation("two different answers for " + key);
    }
    return;
  }
  const auto& failure = std::get<gpFailure>(aAnswer);
  notRun_ += failure.outcome_ == gpOutcome::NotRun ? 1 : 0;
  for (std::uint32_t task = 0; task < aSubmission.tasks_; ++task) {
    const bool started = starts_.contains({ key, task });
    const bool listed =
      std::ranges::find(failure.mayHaveRun_, gpTaskIndex(task)) !=
      failure.mayHaveRun_.end();
    if (failure.outcome_ == gpOutcome::NotRun && started) {
      ReportViolation("answered 'not run' although a task was started for " +
                      key + ": " + std::string(gpFailureName(failure.code_)));
    }
    if (failure.outcome_ == gpOutcome::Failed && started && !listed) {
      ReportViolation("may_have_run doesn't list a started task of " + key);
    }
  }
}

void
gpHistory::CheckWon(const gpTimelineEvent& aEvent)
{
  if (aEvent.kind_ == gpEventKind::ClaimWon) {
    std::set<gpJobId>& won = won_[aEvent.key_->key_.value_];
    won.insert(*aEvent.job_);
    if (won.size() > 1) {
      ReportViolation("two entries have won the claim of " +
                      aEvent.key_->key_.value_);
    }
  }
  if (aEvent.kind_ == gpEventKind::ClaimWithdrawn) {
    won_[aEvent.key_->key_.value_].erase(*aEvent.job_);
  }
}

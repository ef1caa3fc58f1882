#include "gpLeaseHistory.h"

#include <algorithm>
#include <utility>

#include "gpLeaseTimings.h"

namespace {

constexpr const char* kService = "pond-order";
constexpr const char* kHost = "ponds";
constexpr const char* kPath = "/hold/";
constexpr const char* kSecondPath = "/check/";
constexpr std::uint64_t kTargetMilliCores = 4000;
constexpr std::uint64_t kTaskMilliCores = 1000;
constexpr std::size_t kTasks = 3;
/// Runs that don't end by themselves, of 1000, usually and while the time of
/// stops is what counts.
constexpr unsigned kFewHangs = 5;
constexpr unsigned kManyHangs = 100;
constexpr gpMillis kCallerTimeout{ 1500 };
constexpr gpMillis kAnswerTimeout{ 60 };
constexpr gpMillis kHeartbeat{ 500 };
/// Time in which the change of a target's capacity becomes known: a heartbeat
/// and its delivery. A guard that was not scheduled for longer than
/// kLongestPause takes no orders from before.
constexpr gpMillis kCapacitySlack = kHeartbeat + kLongestPause + gpMillis(10);
/// Time until the store has answered a read.
constexpr gpMillis kStoreLatency{ 4 };
/// Callers don't leave that have submitted their job as often.
constexpr int kTriesOfARepeat = 3;
/// The capacity of a target that has shrunk, in thousandths of its former one.
constexpr std::uint64_t kShrunkShare = 550;
/// How many times as many jobs callers submit in a burst, in thousandths.
constexpr std::size_t kBurst = 1400;
/// Upper bound of how long a run continues after its caller has left: covers
/// the loss of a link, the lease and repeated stops.
constexpr gpMillis kLongestRunAfterEnd{ 3000 };
/// The platform's bound of how long after the cancel of a job was acknowledged
/// its tasks may be started.
constexpr gpMillis kCancelTime{ 3000 };

gpQueueTable
MakeQueues()
{
  gpQueue queue;
  queue.name_ = gpQueueName("hold");
  queue.host_ = kHost;
  queue.prefix_ = kPath;
  queue.service_ = gpServiceName(kService);
  queue.maxAttempts_ = 3;
  queue.stretch_ = 1.6;
  queue.allowance_ = gpMillis(60);
  gpQueueTable table;
  table.version_ = gpConfigVersion(1);
  table.queues_.push_back(queue);
  queue.name_ = gpQueueName("check");
  queue.prefix_ = kSecondPath;
  table.queues_.push_back(queue);
  return table;
}

} // namespace

gpLeaseHistory::gpLeaseHistory(gpLeaseHistoryOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , foreignWriter_(random_, aOptions.guards_)
{
  end_ = now_ + options_.length_;
  entries_.resize(options_.entries_);
  guards_.resize(options_.guards_);
  targets_.resize(options_.guards_);
  sequences_.resize(options_.guards_);
  capacities_.resize(options_.guards_, gpChangingCapacity(kTargetMilliCores));
  records_.resize(options_.guards_);
  waitingPolls_.resize(options_.guards_);
  cutUntil_.resize(options_.guards_);
  stopsHangUntil_.resize(options_.guards_);
  stopping_.resize(options_.guards_);
  for (std::size_t index = 0; index < options_.guards_; ++index) {
    StartTarget(index);
    StartGuard(index);
    Heartbeat(index);
    if (options_.capacityChanges_) {
      ChangeCapacity(index);
    }
  }
  for (std::size_t index = 0; index < options_.entries_; ++index) {
    StartEntry(index);
  }
  At(now_ + gpMillis(200), [this] { SubmitLater(); });
  if (options_.giverKills_) {
    for (const int fifths : { 2, 4 }) {
      At(now_ + options_.length_ * fifths / 5, [this] {
        giverKills_ += entries_[giver_].alive_ ? 1 : 0;
        Kill(entries_[giver_]);
      });
    }
  }
  if (options_.shrunkBurst_) {
    At(now_ + options_.length_ / 4, [this] { ShrinkTargets(); });
  }
  if (options_.faultPause_ > gpMillis(0)) {
    At(now_ + gpMillis(300), [this] { Fault(); });
  }
  if (options_.foreignRecords_) {
    At(now_ + gpMillis(300), [this] { NameSecondAddress(); });
  }
}

std::vector<std::string>
gpLeaseHistory::Run()
{
  const gpTime last = end_ + kLongestRunAfterEnd;
  while (!events_.empty() && broken_.empty()) {
    auto first = events_.begin();
    if (first->first > last) {
      break;
    }
    now_ = std::max(now_, first->first);
    const auto event = std::move(first->second);
    events_.erase(first);
    event();
    Check();
  }
  return broken_;
}

gpMicros
gpLeaseHistory::DrawLatency()
{
  return gpMicros(200 + Draw(1500));
}

void
gpLeaseHistory::At(gpTime aWhen, std::function<void()> aEvent)
{
  events_.emplace(aWhen, std::move(aEvent));
}

void
gpLeaseHistory::AtProcess(Process& aProcess,
                          gpTime aWhen,
                          const std::function<void()>& aEvent)
{
  At(aWhen, [this, &aProcess, generation = aProcess.generation_, aEvent] {
    if (!aProcess.alive_ || aProcess.generation_ != generation) {
      return;
    }
    if (now_ < aProcess.frozenUntil_) {
      AtProcess(aProcess, aProcess.frozenUntil_, aEvent);
      return;
    }
    aEvent();
  });
}

std::uint64_t
gpLeaseHistory::WallClockMs() const
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<gpMillis>(now_.time_since_epoch()).count());
}

void
gpLeaseHistory::Begin(Process& aProcess, std::size_t aIndex, gpRole aRole)
{
  aProcess.index_ = aIndex;
  ++aProcess.generation_;
  aProcess.alive_ = true;
  aProcess.peer_.role_ = aRole;
  aProcess.peer_.incarnation_ = gpIncarnation(++lastIncarnation_);
  aProcess.wakeAt_ = gpTime{};
}

gpAddress
gpLeaseHistory::AddressOf(std::size_t aEntry)
{
  return gpAddress("entry-" + std::to_string(aEntry));
}

std::size_t
gpLeaseHistory::EntryAt(const gpAddress& aAddress)
{
  return std::stoul(aAddress.value_.substr(aAddress.value_.find('-') + 1));
}

gpEntriesFound
gpLeaseHistory::ListEntries() const
{
  gpEntriesFound found;
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    found.entries_.push_back(AddressOf(entry));
  }
  return found;
}

void
gpLeaseHistory::NameSecondAddress()
{
  const std::size_t guard = Draw(guards_.size());
  const std::string entry = std::to_string(Draw(entries_.size()));
  AtProcess(guards_[guard], now_, [this, guard, entry] {
    gpEntriesFound found = ListEntries();
    found.entries_.emplace_back("second-" + entry);
    GiveGuard(guard, std::move(found));
  });
  At(now_ + gpMillis(100 + Draw(400)), [this] { NameSecondAddress(); });
}

std::optional<gpTargetRecord>
gpLeaseHistory::ReadRecord(std::size_t aGuard)
{
  if (!options_.foreignRecords_ || Chance(500)) {
    return records_[aGuard];
  }
  return foreignWriter_.MakeRecord();
}

void
gpLeaseHistory::StartEntry(std::size_t aIndex)
{
  Process& process = entries_[aIndex];
  Begin(process, aIndex, gpRole::Entry);
  process.peer_.address_ = AddressOf(aIndex);
  gpLeaseEntryOptions options;
  options.self_ = { process.peer_.address_, gpDataCentreName("a"), 250 };
  options.firstRun_ = WallClockMs();
  options.shutdown_ = gpMillis(5000);
  process.entry_ = std::make_unique<gpLeaseEntryReducer>(options);
  process.watched_.clear();
  GiveEntry(aIndex, gpQueuesChanged{ MakeQueues() });
  if (options_.peerLinks_) {
    GiveEntry(aIndex, ListEntries());
  }
}

void
gpLeaseHistory::StartGuard(std::size_t aIndex)
{
  Process& process = guards_[aIndex];
  Begin(process, aIndex, gpRole::Guard);
  process.peer_.name_ = "guard-" + std::to_string(aIndex);
  gpLeaseGuardOptions options;
  options.name_ = process.peer_.name_;
  options.service_ = gpServiceName(kService);
  options.dataCentre_ = gpDataCentreName("a");
  options.links_ = options_.links_;
  options.fence_ = WallClockMs();
  options.shutdown_ = gpMillis(5000);
  process.guard_ = std::make_unique<gpLeaseGuardReducer>(options);
  process.watched_.clear();
  GiveGuard(aIndex, ListEntries());
  const auto record = ReadRecord(aIndex);
  if (record.has_value()) {
    AtProcess(process, now_ + kStoreLatency, [this, aIndex, record] {
      GiveGuard(aIndex, gpTargetRecordRead{ *record });
    });
  }
}

void
gpLeaseHistory::StartTarget(std::size_t aGuard)
{
  const double rate = Chance(300) ? 0.98 : 1.0;
  const std::uint64_t startTime = WallClockMs();
  std::string id = "i-" + std::to_string(aGuard);
  if (options_.foreignHeartbeats_ && Chance(500)) {
    id += "-" + std::to_string(++lastTarget_);
  }
  targets_[aGuard] =
    std::make_unique<gpSimTarget>(std::move(id), startTime, rate, now_);
  sequences_[aGuard] = 0;
}

void
gpLeaseHistory::Heartbeat(std::size_t aGuard)
{
  At(now_ + kHeartbeat, [this, aGuard] { Heartbeat(aGuard); });
  if (options_.foreignHeartbeats_ && Chance(300)) {
    constexpr int kMostAtOnce = 8;
    const bool areMany = options_.foreignRecords_ && Chance(300);
    const gpTime when = now_ + gpMillis(Draw(400));
    for (int count = 0; count < (areMany ? kMostAtOnce : 1); ++count) {
      At(when, [this, aGuard] { ForeignHeartbeat(aGuard); });
    }
  }
  if (targets_[aGuard] == nullptr) {
    return;
  }
  gpTargetAnnouncement target;
  target.id_ = targets_[aGuard]->GetId();
  target.startTime_ = targets_[aGuard]->GetStartTime();
  target.sequence_ = ++sequences_[aGuard];
  target.service_ = gpServiceName(kService);
  target.capacity_ = { capacities_[aGuard].Get(), 1024, 0 };
  foreignWriter_.NoteHeartbeat(aGuard, target);
  AtProcess(guards_[aGuard], now_ + DrawLatency(), [this, aGuard, target] {
    GiveGuard(aGuard, gpHeartbeatReceived{ target });
  });
}

void
gpLeaseHistory::ForeignHeartbeat(std::size_t aGuard)
{
  const auto call = foreignWriter_.MakeCall(aGuard, WallClockMs());
  if (call.has_value()) {
    std::visit([&](const auto& aCall) { GiveGuard(aGuard, aCall); }, *call);
  }
}

void
gpLeaseHistory::Dial(Process& aProcess, const gpAddress& aAddress)
{
  const std::size_t index = EntryAt(aAddress);
  Process& entry = entries_[index];
  const bool isReady = aProcess.alive_ && entry.alive_ &&
                       now_ >= aProcess.frozenUntil_ &&
                       now_ >= entry.frozenUntil_;
  for (const auto& [id, link] : links_) {
    const bool isOurs = link.ends_[0] == &aProcess &&
                        link.dialed_ == aAddress &&
                        link.generations_[0] == aProcess.generation_;
    if (isOurs && link.open_[0]) {
      return;
    }
  }
  if (!aProcess.alive_ || !aProcess.watched_.contains(aAddress)) {
    return;
  }
  if (!isReady) {
    At(now_ + gpMillis(100),
       [this, &aProcess, aAddress] { Dial(aProcess, aAddress); });
    AtProcess(aProcess, now_, [this, &aProcess, aAddress] {
      Give(aProcess, gpDialFailed{ aAddress, gpErrorCode::ConnectRefused });
    });
    return;
  }
  if (options_.foreignRecords_) {
    CloseEarlierLink(aProcess, entry);
  }
  const std::uint64_t id = ++lastLink_;
  Link link;
  link.ends_[0] = &aProcess;
  link.ends_[1] = &entry;
  link.dialed_ = aAddress;
  link.generations_[0] = aProcess.generation_;
  link.generations_[1] = entry.generation_;
  links_.emplace(id, link);
  GiveEntry(index, gpLinkOpened{ gpLinkId(id), aProcess.peer_, std::nullopt });
  Give(aProcess, gpLinkOpened{ gpLinkId(id), entry.peer_, aAddress });
}

void
gpLeaseHistory::CloseEarlierLink(const Process& aProcess, const Process& aEntry)
{
  for (auto& [id, link] : links_) {
    const bool isEarlier = link.ends_[0] == &aProcess &&
                           link.ends_[1] == &aEntry &&
                           link.generations_[0] == aProcess.generation_ &&
                           link.generations_[1] == aEntry.generation_;
    if (isEarlier && std::exchange(link.open_[1], false)) {
      GiveEntry(aEntry.index_,
                gpLinkLost{ gpLinkId(id), gpErrorCode::LinkClosed });
      At(now_ + DrawLatency(),
         [this, id = id] { LoseEnd(id, 0, gpErrorCode::LinkClosed); });
    }
  }
}

template<typename Input>
void
gpLeaseHistory::GiveEntry(std::size_t aIndex, Input aInput)
{
  gpLeaseEntryEvent event;
  event.now_ = now_;
  event.input_ = std::move(aInput);
  Process& process = entries_[aIndex];
  CarryOut(process, process.entry_->Reduce(event));
}

template<typename Input>
void
gpLeaseHistory::GiveGuard(std::size_t aIndex, Input aInput)
{
  gpLeaseGuardEvent event;
  event.now_ = now_;
  event.input_ = std::move(aInput);
  Process& process = guards_[aIndex];
  CarryOut(process, process.guard_->Reduce(event));
}

template<typename Input>
void
gpLeaseHistory::Give(Process& aProcess, Input aInput)
{
  if (aProcess.entry_ != nullptr) {
    GiveEntry(aProcess.index_, std::move(aInput));
  } else {
    GiveGuard(aProcess.index_, std::move(aInput));
  }
}

void
gpLeaseHistory::CarryOut(Process& aProcess, std::vector<gpLeaseEffect> aEffects)
{
  for (gpLeaseEffect& effect : aEffects) {
    if (auto* send = std::get_if<gpSend>(&effect)) {
      CarrySend(aProcess, *send);
    } else if (const auto* close = std::get_if<gpCloseLink>(&effect)) {
      const std::uint64_t id = close->link_.value_;
      Link& link = links_.at(id);
      const int end = EndOf(link, aProcess);
      link.open_[end] = false;
      At(now_ + DrawLatency(),
         [this, id, end] { LoseEnd(id, 1 - end, gpErrorCode::LinkClosed); });
      At(now_ + gpMillis(100),
         [this, dialer = link.ends_[0], address = link.dialed_] {
           Dial(*dialer, address);
         });
    } else if (const auto* watch = std::get_if<gpWatchAddress>(&effect)) {
      CarryWatch(aProcess, watch->address_);
    } else if (const auto* unwatch = std::get_if<gpUnwatchAddress>(&effect)) {
      CarryUnwatch(aProcess, unwatch->address_);
    } else if (const auto* wake = std::get_if<gpWakeAt>(&effect)) {
      aProcess.wakeAt_ = wake->when_;
      AtProcess(aProcess, wake->when_, [this, &aProcess, when = wake->when_] {
        if (aProcess.wakeAt_ != when) {
          return;
        }
        Give(aProcess, gpTimePassed{});
      });
    } else if (const auto* answer = std::get_if<gpAnswerLeaseJob>(&effect)) {
      OnAnswer(answer->request_, answer->answer_);
    } else if (const auto* start = std::get_if<gpStartRun>(&effect)) {
      CarryStart(aProcess.index_, *start);
    } else if (const auto* stop = std::get_if<gpStopRun>(&effect)) {
      CarryStop(aProcess.index_, *stop);
    } else if (const auto* poll = std::get_if<gpPollTarget>(&effect)) {
      CarryPoll(aProcess.index_, *poll);
    } else if (const auto* call = std::get_if<gpIdentifyTarget>(&effect)) {
      CarryIdentify(aProcess.index_, *call);
    } else if (const auto* record = std::get_if<gpStoreTargetRecord>(&effect)) {
      records_[aProcess.index_] = record->record_;
    }
  }
}

void
gpLeaseHistory::CarryWatch(Process& aProcess, const gpAddress& aAddress)
{
  if (aProcess.entry_ != nullptr && !options_.peerLinks_) {
    return;
  }
  aProcess.watched_.insert(aAddress);
  At(now_ + gpMillis(1 + Draw(100)),
     [this, &aProcess, aAddress] { Dial(aProcess, aAddress); });
}

void
gpLeaseHistory::CarryUnwatch(Process& aProcess, const gpAddress& aAddress)
{
  aProcess.watched_.erase(aAddress);
  for (auto& [id, link] : links_) {
    const bool isOurs = link.ends_[0] == &aProcess &&
                        link.dialed_ == aAddress &&
                        link.generations_[0] == aProcess.generation_;
    if (isOurs && std::exchange(link.open_[0], false)) {
      ++moves_;
      At(now_ + DrawLatency(),
         [this, id = id] { LoseEnd(id, 1, gpErrorCode::LinkClosed); });
    }
  }
}

void
gpLeaseHistory::CarrySend(Process& aProcess, gpSend& aSend)
{
  Link& link = links_.at(aSend.link_.value_);
  const int from = EndOf(link, aProcess);
  if (const auto* order = std::get_if<gpRunOrder>(&aSend.message_)) {
    giver_ = aProcess.index_;
    for (const gpRunId& run : order->runs_) {
      ordered_.emplace(run, newest_.at(gpJobOfTask(run.task_)));
      needs_.emplace(run, order->needs_);
    }
  }
  if (!link.open_[from] || link.silent_) {
    return;
  }
  const gpTime when = std::max(link.lastAt_[from], now_ + DrawLatency());
  link.lastAt_[from] = when;
  const int to = 1 - from;
  Process& receiver = *link.ends_[to];
  const std::uint64_t id = aSend.link_.value_;
  AtProcess(
    receiver, when, [this, id, to, message = std::move(aSend.message_)] {
      const Link& open = links_.at(id);
      if (open.open_[to]) {
        Give(*open.ends_[to], gpMessageReceived{ gpLinkId(id), message });
      }
    });
}

void
gpLeaseHistory::CarryStart(std::size_t aGuard, const gpStartRun& aStart)
{
  gpSimRun run;
  run.run_ = aStart.run_;
  run.fails_ = Chance(20);
  run.hangs_ = Chance(options_.hangingStops_ ? kManyHangs : kFewHangs);
  run.needs_ = needs_[aStart.run_];
  gpMillis length(10 + Draw(300));
  if (deadly_.Contains(run.run_.task_)) {
    length = std::max(length, options_.crashDelay_ + gpMillis(1));
  }
  auto carry = [this, aGuard, aStart, run, length]() mutable {
    gpSimTarget* target = targets_[aGuard].get();
    if (target == nullptr || IsCut(aGuard)) {
      return gpOrderReply::NotSent;
    }
    if (target->GetId() != aStart.target_) {
      return gpOrderReply::OtherTarget;
    }
    run.endsAt_ = now_ + length;
    const gpOrderReply reply = target->Start(aStart, run, now_);
    if (reply == gpOrderReply::Accepted) {
      CheckStarted(aStart.run_);
      startsBesideStops_ += stopping_[aGuard].empty() ? 0 : 1;
      CheckCapacity(aGuard);
      CarryDeadly(aGuard, aStart.run_);
    }
    return reply;
  };
  if (Chance(options_.lostOrders_)) {
    if (Chance(500)) {
      const gpMillis delay(Chance(500) ? 2000 + Draw(10000) : Draw(40));
      At(now_ + delay, [carry]() mutable { carry(); });
    }
    AtProcess(guards_[aGuard], now_ + kAnswerTimeout, [this, aGuard, aStart] {
      GiveGuard(aGuard, gpStartReplied{ aStart.run_, gpOrderReply::Silent, 0 });
    });
    return;
  }
  At(now_ + DrawLatency(), [this, aGuard, aStart, carry]() mutable {
    const gpOrderReply reply = carry();
    const std::uint64_t clock =
      targets_[aGuard] == nullptr ? 0 : targets_[aGuard]->GetClock(now_);
    AtProcess(guards_[aGuard],
              now_ + DrawLatency(),
              [this, aGuard, aStart, reply, clock] {
                GiveGuard(aGuard, gpStartReplied{ aStart.run_, reply, clock });
              });
  });
}

void
gpLeaseHistory::CarryStop(std::size_t aGuard, const gpStopRun& aStop)
{
  const auto carry = [this, aGuard, aStop] {
    gpSimTarget* target = targets_[aGuard].get();
    if (target == nullptr || IsCut(aGuard)) {
      return gpOrderReply::NotSent;
    }
    return target->GetId() == aStop.target_ ? target->Stop(aStop, now_)
                                            : gpOrderReply::OtherTarget;
  };
  if (now_ < stopsHangUntil_[aGuard] || Chance(options_.lostOrders_)) {
    if (Chance(500)) {
      At(now_ + gpMillis(2000 + Draw(10000)), [carry] { carry(); });
    }
    AtProcess(guards_[aGuard], now_ + kAnswerTimeout, [this, aGuard, aStop] {
      GiveGuard(aGuard, gpStopReplied{ aStop.run_, gpOrderReply::Silent, 0 });
    });
    return;
  }
  gpMicros delay = DrawLatency();
  if (options_.slowestStop_ > gpMillis(0)) {
    delay += gpMillis(Draw(options_.slowestStop_.count()));
    stopping_[aGuard].insert(aStop.run_);
  }
  At(now_ + delay, [this, aGuard, aStop, carry] {
    const gpOrderReply reply = carry();
    stopping_[aGuard].erase(aStop.run_);
    AtProcess(
      guards_[aGuard], now_ + DrawLatency(), [this, aGuard, aStop, reply] {
        GiveGuard(aGuard, gpStopReplied{ aStop.run_, reply, 0 });
      });
  });
}

void
gpLeaseHistory::CarryPoll(std::size_t aGuard, const gpPollTarget& aPoll)
{
  const gpTime sentAt = now_;
  const auto answer = [this, aGuard, sentAt](gpPollReplied aSeen) {
    aSeen.sentAt_ = sentAt;
    GiveGuard(aGuard, std::move(aSeen));
  };
  if (Chance(options_.lostOrders_)) {
    const gpTime silentAt = now_ + aPoll.wait_ + kAnswerTimeout;
    AtProcess(guards_[aGuard], silentAt, [answer] { answer(gpPollReplied{}); });
    return;
  }
  At(now_ + DrawLatency(), [this, aGuard, aPoll, answer] {
    gpSimTarget* target = IsCut(aGuard) ? nullptr : targets_[aGuard].get();
    gpPollReplied seen;
    seen.reply_ = gpOrderReply::NotSent;
    gpMicros wait{ 0 };
    if (target != nullptr) {
      seen = target->Poll(aPoll, now_);
      wait = seen.ended_.empty() ? gpMicros(aPoll.wait_) / 10 : gpMicros(0);
    }
    if (target == nullptr || wait == gpMicros(0)) {
      AtProcess(guards_[aGuard], now_ + DrawLatency(), [answer, seen] {
        answer(seen);
      });
      return;
    }
    // Long poll: the target answers later, with its state at that time, unless
    // it crashes before.
    gpPollTarget again = aPoll;
    again.leaseEnd_.reset();
    const std::uint64_t poll = ++lastPoll_;
    waitingPolls_[aGuard][poll] = [this, aGuard, answer](gpPollReplied aSeen) {
      AtProcess(guards_[aGuard],
                now_ + DrawLatency(),
                [answer, seen = std::move(aSeen)] { answer(seen); });
    };
    At(now_ + wait, [this, aGuard, again, poll] {
      const auto waiting = waitingPolls_[aGuard].extract(poll);
      if (waiting.empty()) {
        return; // the target has crashed
      }
      gpPollReplied late;
      late.reply_ = gpOrderReply::Silent;
      if (!IsCut(aGuard)) {
        late = targets_[aGuard]->Poll(again, now_);
      }
      waiting.mapped()(late);
    });
  });
}

void
gpLeaseHistory::CarryIdentify(std::size_t aGuard, const gpIdentifyTarget& aCall)
{
  const auto answer = [this, aGuard](const gpTargetIdentified& aSeen) {
    GiveGuard(aGuard, aSeen);
  };
  if (Chance(options_.lostOrders_)) {
    AtProcess(guards_[aGuard], now_ + kAnswerTimeout, [answer, aCall] {
      answer({ aCall.id_, gpOrderReply::Silent, 0 });
    });
    return;
  }
  At(now_ + DrawLatency(), [this, aGuard, aCall, answer] {
    gpTargetIdentified seen{ aCall.id_, gpOrderReply::NotSent, 0 };
    gpSimTarget* target = IsCut(aGuard) ? nullptr : targets_[aGuard].get();
    if (target != nullptr) {
      gpPollTarget poll;
      poll.target_ = aCall.id_;
      poll.fence_ = aCall.fence_;
      const gpPollReplied polled = target->Poll(poll, now_);
      seen.reply_ = polled.reply_;
      seen.startTime_ = polled.startTime_;
    }
    AtProcess(
      guards_[aGuard], now_ + DrawLatency(), [answer, seen] { answer(seen); });
  });
}

void
gpLeaseHistory::OnAnswer(gpRequestId aRequest, const gpLeaseAnswer& aAnswer)
{
  Caller& caller = callers_.at(aRequest);
  if (caller.answered_) {
    Break("a request was answered twice");
  }
  caller.answered_ = true;
  if (aAnswer.outcome_ == gpLeaseOutcome::Completed ||
      aAnswer.outcome_ == gpLeaseOutcome::Cancelled) {
    RepeatLater(caller);
  }
  if (aAnswer.outcome_ == gpLeaseOutcome::Completed) {
    ++completed_;
    firstQueueCompleted_ += PathOf(caller.job_) == kPath ? 1 : 0;
    if (doneTasks_[caller.job_].size() != kTasks) {
      Break("job " + caller.job_ + " is complete without all of its tasks");
    }
  } else if (aAnswer.outcome_ == gpLeaseOutcome::NotRun) {
    ++refused_;
    notRun_.insert(aRequest);
    for (const auto& [run, startedAt] : started_) {
      if (ordered_.at(run) == aRequest) {
        Break("job " + caller.job_ + " was answered not_run, but has run");
      }
    }
  } else {
    caller.left_ = true;
    caller.leftAt_ = now_;
    const bool isWithheld = aAnswer.reason_ == gpLeaseReason::TaskCrashes ||
                            aAnswer.reason_ == gpLeaseReason::TaskSuspected;
    if (isWithheld && !deadly_.ContainsJob(caller.job_)) {
      ++wronglyGivenUp_;
    }
    if (options_.resubmitsFailed_ &&
        aAnswer.reason_ != gpLeaseReason::TaskFailed &&
        aAnswer.reason_ != gpLeaseReason::TaskCrashes &&
        !std::exchange(caller.resubmitted_, true)) {
      At(now_ + kShortestResend,
         [this, job = caller.job_, tries = caller.tries_] {
           Submit(job, tries + 1);
         });
    }
  }
}

void
gpLeaseHistory::SubmitLater()
{
  if (now_ >= end_) {
    return;
  }
  const std::string job = "job" + std::to_string(++lastJob_);
  if (PathOf(job) == kSecondPath && Chance(options_.deadlyJobs_)) {
    deadly_.AddJob(job);
  }
  firstQueueJobs_ += PathOf(job) == kPath ? 1 : 0;
  Submit(job, 1);
  if (options_.repeats_ && Chance(200)) {
    At(now_ + gpMillis(5 + Draw(200)), [this, job] { Cancel(job); });
  }
  gpMicros pause = gpMillis(5 + Draw(60));
  if (IsBurst()) {
    pause = pause * 1000 / kBurst;
  }
  At(now_ + pause, [this] { SubmitLater(); });
}

std::string
gpLeaseHistory::PathOf(const std::string& aJob) const
{
  const bool isSecond =
    options_.deadlyJobs_ > 0 && (aJob.back() - '0') % 2 == 0;
  return isSecond ? kSecondPath : kPath;
}

void
gpLeaseHistory::Submit(const std::string& aJob, int aTries)
{
  const std::size_t entry = Draw(entries_.size());
  Process& process = entries_[entry];
  if (!process.alive_ || now_ < process.frozenUntil_) {
    return;
  }
  const gpRequestId request(++lastRequest_);
  Caller caller;
  caller.job_ = aJob;
  caller.entry_ = entry;
  caller.entryGeneration_ = process.generation_;
  caller.tries_ = aTries;
  callers_.emplace(request, caller);
  newest_[aJob] = request;
  gpLeaseJob job;
  job.id_ = aJob;
  job.host_ = kHost;
  job.path_ = PathOf(aJob) + aJob;
  job.callerTimeout_ = kCallerTimeout;
  gpJobStep step;
  step.count_ = kTasks;
  step.needs_ = { kTaskMilliCores, 64, 0 };
  step.estimate_ = gpMillis(50 + Draw(200));
  job.steps_.push_back(step);
  GiveEntry(entry, gpLeaseJobSubmitted{ request, std::move(job) });
  // Some callers lose their connection; all of them submit their job again
  // later.
  if (Chance(150) && aTries < 3) {
    const gpTime leave = now_ + gpMillis(5 + Draw(200));
    AtProcess(process, leave, [this, request, entry] {
      Caller& leaver = callers_.at(request);
      if (!leaver.answered_) {
        leaver.left_ = true;
        leaver.leftAt_ = now_;
        GiveEntry(entry, gpCallerDisconnected{ request });
      }
    });
    At(leave + kShortestResend, [this, request] { SubmitAgain(request); });
  }
}

void
gpLeaseHistory::SubmitAgain(gpRequestId aRequest)
{
  Caller& caller = callers_.at(aRequest);
  if (!caller.answered_ && !std::exchange(caller.resubmitted_, true)) {
    Submit(caller.job_, caller.tries_ + 1);
  }
}

void
gpLeaseHistory::Cancel(const std::string& aJob)
{
  const std::size_t entry = Draw(entries_.size());
  GiveEntry(entry, gpLeaseJobCancelled{ aJob });
  cancelledAt_.emplace(aJob, now_);
}

void
gpLeaseHistory::RepeatLater(const Caller& aCaller)
{
  if (options_.repeats_ && Chance(300)) {
    At(now_ + kShortestResend + gpMillis(Draw(4000)),
       [this, job = aCaller.job_] { Submit(job, kTriesOfARepeat); });
  }
}

void
gpLeaseHistory::Fault()
{
  if (now_ >= end_) {
    return;
  }
  const bool isLong = options_.targetCuts_ || options_.hangingStops_;
  std::size_t fault = Draw(isLong ? 8 : 7);
  if (options_.repeats_ && (fault == 2 || fault == 4)) {
    fault = 0;
  }
  switch (fault) {
    case 0:
      BreakLink(false);
      break;
    case 1:
      BreakLink(true);
      break;
    case 2:
      Kill(entries_[Draw(entries_.size())]);
      break;
    case 3:
      Kill(guards_[Draw(guards_.size())]);
      break;
    case 4:
      Freeze(entries_[Draw(entries_.size())]);
      break;
    case 5:
      Freeze(guards_[Draw(guards_.size())]);
      break;
    case 6:
      CrashTarget(Draw(guards_.size()), gpMillis(50 + Draw(800)));
      break;
    default:
      if (options_.hangingStops_) {
        HangStops(Draw(guards_.size()));
      } else {
        CutTarget(Draw(guards_.size()));
      }
      break;
  }
  const auto most = static_cast<std::size_t>(2 * options_.faultPause_.count());
  At(now_ + gpMillis(1 + Draw(most)), [this] { Fault(); });
}

void
gpLeaseHistory::BreakLink(bool aSilent)
{
  if (links_.empty()) {
    return;
  }
  auto chosen = links_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(Draw(links_.size())));
  auto& [id, link] = *chosen;
  link.silent_ = true;
  for (const int end : { 0, 1 }) {
    const gpMicros delay =
      aSilent ? gpMicros(kLinkSilence) - gpMillis(Draw(100)) : DrawLatency();
    At(now_ + delay,
       [this, id = id, end] { LoseEnd(id, end, gpErrorCode::LinkClosed); });
  }
}

void
gpLeaseHistory::LoseEnd(std::uint64_t aLink, int aEnd, gpErrorCode aReason)
{
  Link& link = links_.at(aLink);
  Process& process = *link.ends_[aEnd];
  if (!link.open_[aEnd] || !process.alive_ ||
      process.generation_ != link.generations_[aEnd]) {
    return;
  }
  AtProcess(process, now_, [this, aLink, aEnd, aReason] {
    Link& lost = links_.at(aLink);
    if (!std::exchange(lost.open_[aEnd], false)) {
      return;
    }
    lost.silent_ = true;
    Process& loser = *lost.ends_[aEnd];
    Give(loser, gpLinkLost{ gpLinkId(aLink), aReason });
    if (aEnd == 0) {
      At(now_ + gpMillis(100),
         [this, &loser, address = lost.dialed_] { Dial(loser, address); });
    }
  });
}

void
gpLeaseHistory::Kill(Process& aProcess)
{
  if (!aProcess.alive_) {
    return;
  }
  aProcess.alive_ = false;
  const bool isEntry = aProcess.entry_ != nullptr;
  const bool isSilent = Chance(300);
  for (auto& [id, link] : links_) {
    if (IsOpenAt(link, aProcess)) {
      link.silent_ = true;
      const gpMicros delay = isSilent ? gpMicros(kLinkSilence) : DrawLatency();
      At(now_ + delay, [this, id = id, end = 1 - EndOf(link, aProcess)] {
        LoseEnd(id, end, gpErrorCode::LinkClosed);
      });
    }
  }
  if (isEntry) {
    for (auto& [request, caller] : callers_) {
      if (caller.entry_ == aProcess.index_ && !caller.answered_ &&
          caller.entryGeneration_ == aProcess.generation_ && !caller.left_) {
        caller.left_ = true;
        caller.leftAt_ = now_;
        At(now_ + kShortestResend,
           [this, request = request] { SubmitAgain(request); });
      }
    }
  }
  At(now_ + gpMillis(50 + Draw(800)), [this, &aProcess, isEntry] {
    if (isEntry) {
      StartEntry(aProcess.index_);
    } else {
      StartGuard(aProcess.index_);
    }
  });
}

void
gpLeaseHistory::Freeze(Process& aProcess)
{
  if (!aProcess.alive_ || now_ < aProcess.frozenUntil_) {
    return;
  }
  const gpMillis length(20 + Draw(2000));
  aProcess.frozenUntil_ = now_ + length;
  for (auto& [id, link] : links_) {
    if (!IsOpenAt(link, aProcess) || length <= kLinkSilence) {
      continue;
    }
    // The other end receives nothing and closes the link. The frozen process
    // learns of it only after its freeze, after the messages that arrived
    // before.
    const int end = EndOf(link, aProcess);
    At(now_ + kLinkSilence,
       [this, id = id, end] { LoseEnd(id, 1 - end, gpErrorCode::LinkSilent); });
    At(now_ + length + gpMillis(1),
       [this, id = id, end] { LoseEnd(id, end, gpErrorCode::LinkClosed); });
  }
}

void
gpLeaseHistory::CrashTarget(std::size_t aGuard, gpMillis aDowntime)
{
  if (targets_[aGuard] == nullptr) {
    return;
  }
  targets_[aGuard].reset();
  for (const auto& [poll, answer] : std::exchange(waitingPolls_[aGuard], {})) {
    gpPollReplied broken;
    broken.reply_ = gpOrderReply::Broken;
    answer(broken);
  }
  At(now_ + aDowntime, [this, aGuard] { StartTarget(aGuard); });
}

void
gpLeaseHistory::CarryDeadly(std::size_t aGuard, const gpRunId& aRun)
{
  if (!deadly_.Contains(aRun.task_)) {
    return;
  }
  if (!deadly_.NoteStart(aRun.task_)) {
    Break(aRun.task_ +
          " was started three times after it had crashed three targets");
  }
  At(now_ + options_.crashDelay_, [this, aGuard, aRun] {
    const gpSimTarget* target = targets_[aGuard].get();
    if (target != nullptr && target->GetRunning().contains(aRun)) {
      deadly_.NoteCrash(aRun.task_);
      CrashTarget(aGuard, gpDeadlyTasks::kDowntime);
    }
  });
}

void
gpLeaseHistory::CutTarget(std::size_t aGuard)
{
  cutUntil_[aGuard] = now_ + gpMillis(20 + Draw(2000));
}

void
gpLeaseHistory::HangStops(std::size_t aGuard)
{
  stopsHangUntil_[aGuard] = now_ + gpMillis(200 + Draw(2800));
}

void
gpLeaseHistory::Check()
{
  std::set<std::string> tasks;
  for (const auto& target : targets_) {
    if (target == nullptr) {
      continue;
    }
    target->Advance(now_);
    for (const gpSimEnd& end : target->TakeEnds()) {
      if (end.end_ == gpRunEnd::Done) {
        doneTasks_[gpJobOfTask(end.run_.task_)].insert(end.run_.task_);
      }
    }
    for (const auto& [id, run] : target->GetRunning()) {
      if (!tasks.insert(id.task_).second) {
        Break("two runs of " + id.task_ + " at one time");
      }
      const Caller& caller = callers_.at(ordered_.at(id));
      // A target may carry out an order seconds late, after the caller has
      // left.
      const gpTime since = std::max(caller.leftAt_, started_.at(id));
      if (caller.left_ && now_ > since + kLongestRunAfterEnd &&
          callers_.at(newest_.at(caller.job_)).left_) {
        Break(id.task_ + " runs on after its caller has left");
      }
    }
  }
}

void
gpLeaseHistory::ChangeCapacity(std::size_t aGuard)
{
  capacities_[aGuard].Change(kTaskMilliCores * (1 + Draw(4)), now_);
  At(now_ + gpMillis(1000 + Draw(2000)),
     [this, aGuard] { ChangeCapacity(aGuard); });
}

void
gpLeaseHistory::ShrinkTargets()
{
  for (std::size_t guard = 0; guard < guards_.size(); guard += 4) {
    capacities_[guard].Change(kTargetMilliCores * kShrunkShare / 1000, now_);
    At(now_ + options_.length_ / 2,
       [this, guard] { capacities_[guard].Change(kTargetMilliCores, now_); });
  }
}

bool
gpLeaseHistory::IsBurst() const
{
  const gpTime start = end_ - options_.length_;
  return options_.shrunkBurst_ && now_ >= start + options_.length_ * 2 / 5 &&
         now_ < start + options_.length_ * 3 / 5;
}

void
gpLeaseHistory::CheckCapacity(std::size_t aGuard)
{
  gpResources used;
  for (const auto& [id, run] : targets_[aGuard]->GetRunning()) {
    used.Add(run.needs_);
  }
  if (used.milliCores_ > capacities_[aGuard].GetLimit(kCapacitySlack, now_)) {
    Break("a start brings a target over its capacity");
  }
}

void
gpLeaseHistory::CheckStarted(const gpRunId& aRun)
{
  ++starts_;
  started_.insert_or_assign(aRun, now_);
  const auto cancelled = cancelledAt_.find(gpJobOfTask(aRun.task_));
  if (cancelled != cancelledAt_.end() &&
      now_ > cancelled->second + kCancelTime) {
    Break(aRun.task_ + " was started after its job was cancelled");
  }
  const auto ordered = ordered_.find(aRun);
  if (ordered == ordered_.end()) {
    Break(aRun.task_ + " was started without an order");
  } else if (notRun_.contains(ordered->second)) {
    Break(aRun.task_ + " was started after its job was answered not_run");
  }
}

void
gpLeaseHistory::Break(const std::string& aWhat)
{
  broken_.push_back("seed " + std::to_string(options_.seed_) + ": " + aWhat);
}

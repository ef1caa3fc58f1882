#include "gpSoak.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <thread>
#include <utility>

#include "gpEventLoop.h"
#include "gpSoakHeartbeats.h"
#include "gpTestFailure.h"

namespace {

constexpr gpMillis kPollInterval{ 5 };
/// Within this time after the last fault, the effects of all faults have ended
/// and old leases have expired.
constexpr gpMillis kRecoveryTime{ 10000 };
/// A fault that was cleared shortly before a graceful shutdown may still affect
/// requests that were sent earlier.
constexpr gpMillis kAfterEffectTime{ 1000 };
/// Added to the length of a drain, so that it lasts longer than the bound
/// kDrainBound that gpSoakRecord.cxx checks.
constexpr gpMillis kExtraDrainTime{ 3500 };
/// The answer to one start is lost, and to one more for each such interval in
/// the fault's length.
constexpr gpMillis kLostStartInterval{ 500 };
/// Likewise for stops, whose guard repeats each several times a second.
constexpr gpMillis kLostStopInterval{ 50 };
/// The request of one job is repeated, and of one more for each such interval
/// in the fault's length.
constexpr gpMillis kRepeatInterval{ 200 };
/// A proxy delays by the fault's length divided by this, up to about 300 ms.
constexpr int kDelayDivisor = 8;

/// The control command that makes a stand-in inject the fault.
std::string
FaultCommand(const gpSoakFault& aFault)
{
  switch (aFault.kind_) {
    case gpSoakFaultKind::DelayLinks:
    case gpSoakFaultKind::DelayWorker:
      return R"({"mode":"delay","delay_ms":)" +
             std::to_string(aFault.length_.count() / kDelayDivisor) + "}";
    case gpSoakFaultKind::SilenceLinks:
      return R"({"mode":"hold"})";
    case gpSoakFaultKind::OneWayLinks:
      return R"({"mode":"hold","direction":"to_server"})";
    case gpSoakFaultKind::SilenceWorker:
      return aFault.length_.count() % 2 == 0
               ? R"({"mode":"hold","direction":"to_server"})"
               : R"({"mode":"hold","direction":"to_client"})";
    case gpSoakFaultKind::SilentStore:
      return R"({"mode":"hang"})";
    case gpSoakFaultKind::TrimmedStore:
      return R"({"trim":"keyed.op"})";
    default:
      return R"({"mode":"refuse"})";
  }
}

} // namespace

gpSoak::gpSoak(gpSoakPlan aPlan)
  : plan_(std::move(aPlan))
  , cluster_(gpPlatformClusterOptions{ plan_.entries_, plan_.guards_, true })
  , callers_(cluster_, plan_.seed_, plan_.jobPause_)
  , entries_(plan_.entries_)
  , guards_(plan_.guards_)
  , workers_(plan_.guards_)
  , workerKills_(plan_.guards_)
{
}

gpSoak::Steps
gpSoak::StepsOf(gpSoakFaultKind aKind)
{
  using Kind = gpSoakFaultKind;
  static const std::map<Kind, Steps> table = {
    { Kind::KillEntry, { &gpSoak::KillEntry, &gpSoak::StartEntry } },
    { Kind::KillGuard, { &gpSoak::KillGuard, &gpSoak::StartGuard } },
    { Kind::KillWorker, { &gpSoak::KillWorker, &gpSoak::StartWorker } },
    { Kind::TermEntry, { &gpSoak::TermEntry, &gpSoak::NoAction } },
    { Kind::FreezeEntry, { &gpSoak::FreezeEntry, &gpSoak::ThawEntry } },
    { Kind::FreezeGuard, { &gpSoak::FreezeGuard, &gpSoak::ThawGuard } },
    { Kind::DelayLinks, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::ResetLinks, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::SilenceLinks, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::OneWayLinks, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::DelayWorker, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::ResetWorker, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::SilenceWorker, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::LoseStarts, { &gpSoak::LoseStarts, &gpSoak::NoAction } },
    { Kind::DrainWorker, { &gpSoak::DrainWorker, &gpSoak::EndDrain } },
    { Kind::RefusingStore, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::SilentStore, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::ResetStore, { &gpSoak::InjectFault, &gpSoak::ClearFault } },
    { Kind::TrimmedStore, { &gpSoak::InjectFault, &gpSoak::NoAction } },
    { Kind::Configuration,
      { &gpSoak::ChangeConfiguration, &gpSoak::NoAction } },
    { Kind::ForeignHeartbeats,
      { &gpSoak::SendForeignHeartbeats, &gpSoak::SendForeignHeartbeats } },
    { Kind::LoseStops, { &gpSoak::LoseStops, &gpSoak::NoAction } },
    { Kind::RepeatJobs, { &gpSoak::RepeatJobs, &gpSoak::RepeatJobs } },
    { Kind::KillAll, { &gpSoak::KillAll, &gpSoak::StartAll } },
  };
  return table.at(aKind);
}

std::vector<std::string>
gpSoak::Run()
{
  cluster_.Configure(version_);
  cluster_.WaitUntilReady();
  const gpTime start = gpEventLoop::Now();
  std::multimap<gpTime, std::pair<Step, gpSoakFault>> steps;
  for (const gpSoakFault& fault : plan_.faults_) {
    const gpTime begin = start + fault.at_;
    const bool isDrain = fault.kind_ == gpSoakFaultKind::DrainWorker;
    const gpMillis length =
      fault.length_ + (isDrain ? kExtraDrainTime : gpMillis(0));
    const Steps both = StepsOf(fault.kind_);
    steps.emplace(begin, std::pair(both.begin_, fault));
    steps.emplace(begin + length, std::pair(both.end_, fault));
  }
  while (!steps.empty() || gpEventLoop::Now() < start + plan_.length_) {
    while (!steps.empty() && steps.begin()->first <= gpEventLoop::Now()) {
      const auto [step, fault] = steps.begin()->second;
      steps.erase(steps.begin());
      (this->*step)(fault);
    }
    callers_.SubmitDue(
      [this](std::size_t aEntry) { return IsEntryRunning(aEntry); });
    PollAndSleep();
  }
  CheckRecovery();
  record_.submissions_ = callers_.GetSubmissions();
  for (std::size_t index = 0; index < plan_.guards_; ++index) {
    const auto runs =
      gpReadSoakRuns(cluster_.WorkerJournal(index), index, workerKills_[index]);
    // Leaves out the jobs that WaitUntilReady ran before the start.
    std::copy_if(
      runs.begin(),
      runs.end(),
      std::back_inserter(record_.runs_),
      [&](const gpSoakRun& aRun) { return aRun.startedAt_ >= start; });
  }
  const std::vector<std::string> recordViolations = gpCheckSoakRecord(record_);
  violations_.insert(
    violations_.end(), recordViolations.begin(), recordViolations.end());
  return violations_;
}

void
gpSoak::PollAndSleep()
{
  callers_.Poll();
  RestartStoppedEntries();
  std::this_thread::sleep_for(kPollInterval);
}

std::size_t
gpSoak::EntryOf(const gpSoakFault& aFault) const
{
  return aFault.processIndex_ % plan_.entries_;
}

std::size_t
gpSoak::GuardOf(const gpSoakFault& aFault) const
{
  return aFault.processIndex_ % plan_.guards_;
}

bool
gpSoak::IsEntryRunning(std::size_t aEntry)
{
  return cluster_.Entry(aEntry).IsRunning();
}

void
gpSoak::NoteDisruption(std::size_t aEntry, gpMillis aLength)
{
  const gpTime now = gpEventLoop::Now();
  record_.disruptions_.push_back(
    { aEntry, now, now + aLength + kAfterEffectTime });
}

void
gpSoak::KillEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  NoteDisruption(entry, aFault.length_);
  CheckVersions(entry);
  ++entries_[entry].kills_;
  cluster_.Entry(entry).Kill();
}

void
gpSoak::StartEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  if (--entries_[entry].kills_ == 0 && !IsEntryRunning(entry)) {
    entries_[entry].terminating_ = false;
    cluster_.StartEntryAgain(entry);
  }
}

void
gpSoak::KillGuard(const gpSoakFault& aFault)
{
  ++guards_[GuardOf(aFault)].kills_;
  cluster_.Guard(GuardOf(aFault)).Kill();
}

void
gpSoak::StartGuard(const gpSoakFault& aFault)
{
  const std::size_t guard = GuardOf(aFault);
  if (--guards_[guard].kills_ == 0) {
    cluster_.StartGuardAgain(guard);
  }
}

void
gpSoak::KillWorker(const gpSoakFault& aFault)
{
  const std::size_t worker = GuardOf(aFault);
  ++workers_[worker].kills_;
  cluster_.Worker(worker).Kill();
  workerKills_[worker].push_back(gpEventLoop::Now());
  CloseDrains(worker);
}

void
gpSoak::StartWorker(const gpSoakFault& aFault)
{
  const std::size_t worker = GuardOf(aFault);
  // The worker is given the address of its guard, so it starts after the guard.
  if (--workers_[worker].kills_ == 0) {
    cluster_.StartWorkerAgain(worker);
  }
}

void
gpSoak::TermEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  if (!IsEntryRunning(entry) ||
      std::exchange(entries_[entry].terminating_, true)) {
    return;
  }
  CheckVersions(entry);
  record_.shutdowns_.push_back({ entry, gpEventLoop::Now() });
  cluster_.Entry(entry).Terminate();
}

void
gpSoak::RestartStoppedEntries()
{
  for (std::size_t entry = 0; entry < plan_.entries_; ++entry) {
    ActiveFaults& activeFaults = entries_[entry];
    if (!activeFaults.terminating_ || IsEntryRunning(entry)) {
      continue;
    }
    for (gpSoakSpan& shutdown : record_.shutdowns_) {
      if (shutdown.processIndex_ == entry && shutdown.to_ == gpTime::max()) {
        shutdown.to_ = gpEventLoop::Now();
      }
    }
    if (activeFaults.kills_ == 0) {
      activeFaults.terminating_ = false;
      cluster_.StartEntryAgain(entry);
    }
  }
}

void
gpSoak::FreezeEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  NoteDisruption(entry, aFault.length_);
  ++entries_[entry].freezes_;
  cluster_.Entry(entry).Freeze();
}

void
gpSoak::ThawEntry(const gpSoakFault& aFault)
{
  if (--entries_[EntryOf(aFault)].freezes_ == 0) {
    cluster_.Entry(EntryOf(aFault)).Thaw();
  }
}

void
gpSoak::FreezeGuard(const gpSoakFault& aFault)
{
  ++guards_[GuardOf(aFault)].freezes_;
  cluster_.Guard(GuardOf(aFault)).Freeze();
}

void
gpSoak::ThawGuard(const gpSoakFault& aFault)
{
  if (--guards_[GuardOf(aFault)].freezes_ == 0) {
    cluster_.Guard(GuardOf(aFault)).Thaw();
  }
}

gpTestProcess&
gpSoak::StandInOf(const gpSoakFault& aFault)
{
  switch (aFault.kind_) {
    case gpSoakFaultKind::DelayLinks:
    case gpSoakFaultKind::ResetLinks:
    case gpSoakFaultKind::SilenceLinks:
    case gpSoakFaultKind::OneWayLinks:
      return cluster_.EntryProxy(EntryOf(aFault));
    case gpSoakFaultKind::DelayWorker:
    case gpSoakFaultKind::ResetWorker:
    case gpSoakFaultKind::SilenceWorker:
      return cluster_.WorkerProxy(GuardOf(aFault));
    case gpSoakFaultKind::ResetStore:
      return cluster_.StoreProxy();
    default:
      return cluster_.Store();
  }
}

void
gpSoak::InjectFault(const gpSoakFault& aFault)
{
  cluster_.Control(StandInOf(aFault), FaultCommand(aFault));
}

void
gpSoak::ClearFault(const gpSoakFault& aFault)
{
  const bool isStore = aFault.kind_ == gpSoakFaultKind::RefusingStore ||
                       aFault.kind_ == gpSoakFaultKind::SilentStore;
  cluster_.Control(StandInOf(aFault),
                   isStore ? R"({"mode":"serve"})" : R"({"mode":"pass"})");
}

void
gpSoak::LoseStarts(const gpSoakFault& aFault)
{
  const auto starts = 1 + aFault.length_ / kLostStartInterval;
  ControlWorker(aFault, R"({"lose_starts":)" + std::to_string(starts) + "}");
}

void
gpSoak::LoseStops(const gpSoakFault& aFault)
{
  const auto stops = 1 + aFault.length_ / kLostStopInterval;
  ControlWorker(aFault, R"({"lose_stops":)" + std::to_string(stops) + "}");
}

bool
gpSoak::ControlWorker(const gpSoakFault& aFault, const std::string& aCommand)
{
  gpTestProcess& worker = cluster_.Worker(GuardOf(aFault));
  const bool isRunning = worker.IsRunning();
  if (isRunning) {
    cluster_.Control(worker, aCommand);
  }
  return isRunning;
}

void
gpSoak::DrainWorker(const gpSoakFault& aFault)
{
  if (ControlWorker(aFault, R"({"draining":true})")) {
    record_.drains_.push_back({ GuardOf(aFault), gpEventLoop::Now() });
  }
}

void
gpSoak::EndDrain(const gpSoakFault& aFault)
{
  CloseDrains(GuardOf(aFault));
  ControlWorker(aFault, R"({"draining":false})");
}

void
gpSoak::CloseDrains(std::size_t aWorker)
{
  for (gpSoakSpan& drain : record_.drains_) {
    if (drain.processIndex_ == aWorker) {
      drain.to_ = std::min(drain.to_, gpEventLoop::Now());
    }
  }
}

void
gpSoak::ChangeConfiguration(const gpSoakFault& /*aFault*/)
{
  cluster_.Configure(++version_);
}

void
gpSoak::SendForeignHeartbeats(const gpSoakFault& aFault)
{
  for (std::size_t guard = 0; guard < plan_.guards_; ++guard) {
    // In the name of its own worker, or of the next guard's.
    const bool isOwn = aFault.length_.count() % 2 == 0;
    gpTestProcess& worker =
      cluster_.Worker(isOwn ? guard : (guard + 1) % plan_.guards_);
    if (!cluster_.Guard(guard).IsRunning() || !worker.IsRunning()) {
      continue;
    }
    const gpSoakHeartbeats heartbeats(
      gpBodyOf(cluster_.Http().Get(worker.Address("control"), "/control")));
    auto request = heartbeats.MakeForeign(aFault.processIndex_);
    if (request.has_value()) {
      // The guard may be frozen, so its answer isn't waited for.
      heartbeats_.push_back(cluster_.Http().Call(
        cluster_.Guard(guard).Address("target"), std::move(*request)));
    }
  }
}

void
gpSoak::RepeatJobs(const gpSoakFault& aFault)
{
  callers_.RepeatCompleted(
    1 + static_cast<std::size_t>(aFault.length_ / kRepeatInterval));
}

void
gpSoak::KillAll(const gpSoakFault& aFault)
{
  ForAll(aFault, &gpSoak::KillEntry, &gpSoak::KillGuard);
}

void
gpSoak::StartAll(const gpSoakFault& aFault)
{
  ForAll(aFault, &gpSoak::StartEntry, &gpSoak::StartGuard);
}

void
gpSoak::ForAll(gpSoakFault aFault, Step aEntryStep, Step aGuardStep)
{
  for (std::size_t entry = 0; entry < plan_.entries_; ++entry) {
    aFault.processIndex_ = entry;
    (this->*aEntryStep)(aFault);
  }
  for (std::size_t guard = 0; guard < plan_.guards_; ++guard) {
    aFault.processIndex_ = guard;
    (this->*aGuardStep)(aFault);
  }
}

void
gpSoak::NoAction(const gpSoakFault& /*aFault*/)
{
}

void
gpSoak::CheckVersions(std::size_t aEntry)
{
  std::uint64_t last = 0;
  for (const gpTestEvent& event : cluster_.Entry(aEntry).GetEvents()) {
    if (!event.Is("configuration_in_force")) {
      continue;
    }
    const std::uint64_t version = std::stoull(event.Get("number"));
    if (version <= last) {
      violations_.push_back("an entry went back to configuration version " +
                            std::to_string(version));
    }
    last = version;
  }
}

void
gpSoak::CheckRecovery()
{
  const gpTime since = gpEventLoop::Now();
  const auto isServing = [&](std::size_t aEntry) {
    return callers_.IsServedBy(aEntry, since);
  };
  for (std::size_t entry = 0; entry < plan_.entries_; ++entry) {
    while (!isServing(entry) && gpEventLoop::Now() < since + kRecoveryTime) {
      callers_.SubmitTo(entry);
      WaitForCallers();
    }
    if (!isServing(entry)) {
      violations_.push_back("entry " + std::to_string(entry) +
                            " completed no job after the faults");
    }
    try {
      cluster_.Entry(entry).WaitForEvent(
        "configuration_in_force",
        { { "number", std::to_string(version_) } },
        kRecoveryTime);
    } catch (const gpTestFailure& failure) {
      violations_.emplace_back(failure.what());
    }
    CheckVersions(entry);
  }
  WaitForCallers();
}

void
gpSoak::WaitForCallers()
{
  while (callers_.IsWaiting()) {
    PollAndSleep();
  }
}

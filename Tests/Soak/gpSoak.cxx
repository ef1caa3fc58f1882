#include "gpSoak.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <thread>
#include <utility>

#include "gpEventLoop.h"
#include "gpTestFailure.h"

namespace {

constexpr gpMillis kLook{ 5 };
/// All that a plan did is undone, and old leases have lapsed, in this time.
constexpr gpMillis kRecoveryTime{ 10000 };
/// A fault that strikes a graceful shutdown may still act on what came before.
constexpr gpMillis kAftermath{ 1000 };
/// A worker that leaves does so for longer than the bound that is judged.
constexpr gpMillis kDrainTime{ 3500 };
/// One start is lost, and one more for each such part of a fault's length.
constexpr gpMillis kLostStartEach{ 500 };
/// Delays of a proxy are this part of a fault's length, up to 300 ms.
constexpr int kDelayPart = 8;

/// The command to a stand-in that causes the fault.
std::string
HarmCommand(const gpSoakFault& aFault)
{
  switch (aFault.kind_) {
    case gpSoakFaultKind::DelayLinks:
    case gpSoakFaultKind::DelayWorker:
      return R"({"mode":"delay","delay_ms":)" +
             std::to_string(aFault.length_.count() / kDelayPart) + "}";
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
    { Kind::TermEntry, { &gpSoak::TermEntry, &gpSoak::Nothing } },
    { Kind::FreezeEntry, { &gpSoak::FreezeEntry, &gpSoak::ThawEntry } },
    { Kind::FreezeGuard, { &gpSoak::FreezeGuard, &gpSoak::ThawGuard } },
    { Kind::DelayLinks, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::ResetLinks, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::SilenceLinks, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::OneWayLinks, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::DelayWorker, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::ResetWorker, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::SilenceWorker, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::LoseStarts, { &gpSoak::LoseStarts, &gpSoak::Nothing } },
    { Kind::DrainWorker, { &gpSoak::DrainWorker, &gpSoak::EndDrain } },
    { Kind::RefusingStore, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::SilentStore, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::ResetStore, { &gpSoak::Harm, &gpSoak::Heal } },
    { Kind::TrimmedStore, { &gpSoak::Harm, &gpSoak::Nothing } },
    { Kind::Configuration, { &gpSoak::ChangeConfiguration, &gpSoak::Nothing } },
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
      fault.length_ + (isDrain ? kDrainTime : gpMillis(0));
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
    callers_.SubmitDue([this](std::size_t aEntry) { return Takes(aEntry); });
    Sleep();
  }
  CheckRecovery();
  record_.attempts_ = callers_.GetAttempts();
  for (std::size_t index = 0; index < plan_.guards_; ++index) {
    const auto runs =
      gpReadSoakRuns(cluster_.WorkerJournal(index), index, workerKills_[index]);
    // Before the start were the jobs that showed that all are ready.
    std::copy_if(
      runs.begin(),
      runs.end(),
      std::back_inserter(record_.runs_),
      [&](const gpSoakRun& aRun) { return aRun.startedAt_ >= start; });
  }
  const std::vector<std::string> judged = gpJudgeSoak(record_);
  broken_.insert(broken_.end(), judged.begin(), judged.end());
  return broken_;
}

void
gpSoak::Sleep()
{
  callers_.Poll();
  FollowShutdowns();
  std::this_thread::sleep_for(kLook);
}

std::size_t
gpSoak::EntryOf(const gpSoakFault& aFault) const
{
  return aFault.subject_ % plan_.entries_;
}

std::size_t
gpSoak::GuardOf(const gpSoakFault& aFault) const
{
  return aFault.subject_ % plan_.guards_;
}

bool
gpSoak::Takes(std::size_t aEntry)
{
  return cluster_.Entry(aEntry).IsRunning();
}

void
gpSoak::NoteStruck(std::size_t aEntry, gpMillis aLength)
{
  const gpTime now = gpEventLoop::Now();
  record_.struck_.push_back({ aEntry, now, now + aLength + kAftermath });
}

void
gpSoak::KillEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  NoteStruck(entry, aFault.length_);
  CheckVersions(entry);
  ++entries_[entry].kills_;
  cluster_.Entry(entry).Kill();
}

void
gpSoak::StartEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  if (--entries_[entry].kills_ == 0 && !Takes(entry)) {
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
  // It's told where its guard is, so it starts after it.
  if (--workers_[worker].kills_ == 0) {
    cluster_.StartWorkerAgain(worker);
  }
}

void
gpSoak::TermEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  if (!Takes(entry) || std::exchange(entries_[entry].terminating_, true)) {
    return;
  }
  CheckVersions(entry);
  record_.shutdowns_.push_back({ entry, gpEventLoop::Now() });
  cluster_.Entry(entry).Terminate();
}

void
gpSoak::FollowShutdowns()
{
  for (std::size_t entry = 0; entry < plan_.entries_; ++entry) {
    Subject& subject = entries_[entry];
    if (!subject.terminating_ || Takes(entry)) {
      continue;
    }
    for (gpSoakSpan& shutdown : record_.shutdowns_) {
      if (shutdown.subject_ == entry && shutdown.to_ == gpTime::max()) {
        shutdown.to_ = gpEventLoop::Now();
      }
    }
    if (subject.kills_ == 0) {
      subject.terminating_ = false;
      cluster_.StartEntryAgain(entry);
    }
  }
}

void
gpSoak::FreezeEntry(const gpSoakFault& aFault)
{
  const std::size_t entry = EntryOf(aFault);
  NoteStruck(entry, aFault.length_);
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
gpSoak::Harm(const gpSoakFault& aFault)
{
  cluster_.Control(StandInOf(aFault), HarmCommand(aFault));
}

void
gpSoak::Heal(const gpSoakFault& aFault)
{
  const bool isStore = aFault.kind_ == gpSoakFaultKind::RefusingStore ||
                       aFault.kind_ == gpSoakFaultKind::SilentStore;
  cluster_.Control(StandInOf(aFault),
                   isStore ? R"({"mode":"serve"})" : R"({"mode":"pass"})");
}

void
gpSoak::LoseStarts(const gpSoakFault& aFault)
{
  const std::size_t worker = GuardOf(aFault);
  if (cluster_.Worker(worker).IsRunning()) {
    const auto starts = 1 + aFault.length_ / kLostStartEach;
    cluster_.Control(cluster_.Worker(worker),
                     R"({"lose_starts":)" + std::to_string(starts) + "}");
  }
}

void
gpSoak::DrainWorker(const gpSoakFault& aFault)
{
  const std::size_t worker = GuardOf(aFault);
  if (cluster_.Worker(worker).IsRunning()) {
    cluster_.Control(cluster_.Worker(worker), R"({"draining":true})");
    record_.drains_.push_back({ worker, gpEventLoop::Now() });
  }
}

void
gpSoak::EndDrain(const gpSoakFault& aFault)
{
  const std::size_t worker = GuardOf(aFault);
  CloseDrains(worker);
  if (cluster_.Worker(worker).IsRunning()) {
    cluster_.Control(cluster_.Worker(worker), R"({"draining":false})");
  }
}

void
gpSoak::CloseDrains(std::size_t aWorker)
{
  for (gpSoakSpan& drain : record_.drains_) {
    if (drain.subject_ == aWorker) {
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
gpSoak::Nothing(const gpSoakFault& /*aFault*/)
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
      broken_.push_back("an entry went back to version " +
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
      broken_.push_back("entry " + std::to_string(entry) +
                        " doesn't serve after the faults");
    }
    try {
      cluster_.Entry(entry).WaitForEvent(
        "configuration_in_force",
        { { "number", std::to_string(version_) } },
        kRecoveryTime);
    } catch (const gpTestFailure& failure) {
      broken_.emplace_back(failure.what());
    }
    CheckVersions(entry);
  }
  WaitForCallers();
}

void
gpSoak::WaitForCallers()
{
  while (callers_.IsWaiting()) {
    Sleep();
  }
}

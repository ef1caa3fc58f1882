#include "gpClaimSearch.h"

#include <algorithm>
#include <tuple>

namespace {

const gpServiceName kService("service");
const gpTeamName kTeam("team");
constexpr std::size_t kEntries = 2;
/// Longer than the timeout of a claim reply and shorter than that of a whole
/// claim.
constexpr gpMillis kTimeStep{ 300 };

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

bool
BelongsToClaims(const gpMessage& aMessage)
{
  return std::holds_alternative<gpClaimRequest>(aMessage) ||
         std::holds_alternative<gpClaimReply>(aMessage) ||
         std::holds_alternative<gpClaimWithdraw>(aMessage) ||
         std::holds_alternative<gpCopyRequest>(aMessage) ||
         std::holds_alternative<gpCopyReply>(aMessage);
}

} // namespace

/** A possible step of an interleaving. */
struct gpClaimSearch::Step
{
  enum class Kind
  {
    Deliver, ///< delivers the oldest message from one process to another
    Roster,  ///< a process reads the next roster
    Time,    ///< time passes at an entry until its claim times out a reply
    Replace, ///< a guard ends and a new incarnation takes its place
    Break,   ///< the link of an entry and a guard is lost and reopened
  };

  Kind kind_ = Kind::Deliver;
  std::size_t from_ = 0;
  std::size_t to_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Step&) const = default;

  bool CommutesWith(const Step& aOther) const
  {
    const auto isLocal = [](const Step& aStep) {
      return aStep.kind_ == Kind::Deliver || aStep.kind_ == Kind::Roster ||
             aStep.kind_ == Kind::Time;
    };
    return isLocal(*this) && isLocal(aOther) && to_ != aOther.to_;
  }

  std::string Describe() const
  {
    static constexpr const char* kNames[] = {
      "deliver", "roster", "time", "replace", "break"
    };
    return std::string(kNames[static_cast<std::size_t>(kind_)]) + " " +
           std::to_string(from_) + " -> " + std::to_string(to_);
  }
};

/** The state of all processes and links in one interleaving. Processes are
 * numbered: the entries first, then the guards.
 */
class gpClaimSearch::World
{
public:
  explicit World(const gpClaimSearchOptions& aOptions)
    : replacements_(aOptions.replacements_)
    , breaks_(aOptions.breaks_)
    , timeouts_(aOptions.timeouts_)
  {
    rosters_.emplace_back();
    for (std::size_t index = 0; index < kEntries; ++index) {
      processes_.push_back(MakeEntry(index));
      HandleInput(index, gpConfigurationChanged{ MakeConfiguration() });
    }
    for (std::size_t index = 0; index < aOptions.guards_; ++index) {
      AddGuard(kEntries + index);
    }
    while (ExecuteFirst()) {
    }
    Submit(0);
    Submit(1);
  }

  std::vector<Step> ListSteps() const
  {
    using Kind = Step::Kind;
    std::vector<Step> steps;
    for (const auto& [ends, queue] : queues_) {
      if (!queue.empty()) {
        steps.push_back({ Kind::Deliver, ends.first, ends.second });
      }
    }
    for (std::size_t index = 0; index < processes_.size(); ++index) {
      if (processes_[index].rosterRead_ < rosters_.size()) {
        steps.push_back({ Kind::Roster, index, index });
      }
    }
    for (std::size_t entry = 0; entry < kEntries && timeouts_ > 0; ++entry) {
      if (!processes_[entry].timedOut_) {
        steps.push_back({ Kind::Time, entry, entry });
      }
    }
    for (std::size_t guard = kEntries; guard < processes_.size(); ++guard) {
      if (replacements_ > 0) {
        steps.push_back({ Kind::Replace, guard, guard });
      }
      for (std::size_t entry = 0; entry < kEntries && breaks_ > 0; ++entry) {
        steps.push_back({ Kind::Break, entry, guard });
      }
    }
    return steps;
  }

  void Execute(const Step& aStep)
  {
    using Action = void (World::*)(const Step&);
    static constexpr Action kActions[] = { &World::Deliver,
                                           &World::ReadRoster,
                                           &World::PassTime,
                                           &World::Replace,
                                           &World::BreakLink };
    (this->*kActions[static_cast<std::size_t>(aStep.kind_)])(aStep);
  }

  /// Number of entries that won the claim and have not withdrawn it.
  std::size_t CountClaimants() const { return claimants_.size(); }
  bool WasWon() const { return wasWon_; }

private:
  struct Process
  {
    gpPeer peer_;
    std::unique_ptr<gpEntryReducer> entry_;
    std::unique_ptr<gpGuardReducer> guard_;
    std::size_t rosterRead_ = 0;
    gpTime now_{ gpMillis(1000) };
    bool timedOut_ = false;
    std::set<gpAddress> watched_;
  };

  gpPeer MakePeer(gpRole aRole, std::size_t aIndex)
  {
    gpPeer peer;
    peer.role_ = aRole;
    peer.incarnation_ = gpIncarnation(++lastIncarnation_);
    peer.address_ = gpAddress(std::to_string(aIndex));
    return peer;
  }

  Process MakeEntry(std::size_t aIndex)
  {
    Process process;
    process.peer_ = MakePeer(gpRole::Entry, aIndex);
    process.entry_ =
      std::make_unique<gpEntryReducer>(process.peer_, gpTimings{}, 1);
    return process;
  }

  Process MakeGuard(std::size_t aIndex)
  {
    Process process;
    process.peer_ = MakePeer(gpRole::Guard, aIndex);
    gpMember member;
    member.guard_ = process.peer_.incarnation_;
    member.address_ = process.peer_.address_;
    process.guard_ = std::make_unique<gpGuardReducer>(member, gpTimings{});
    process.rosterRead_ = rosters_.size();
    return process;
  }

  void AddGuard(std::size_t aIndex)
  {
    Process guard = MakeGuard(aIndex);
    if (aIndex < processes_.size()) {
      processes_[aIndex] = std::move(guard);
    } else {
      processes_.push_back(std::move(guard));
    }
    HandleInput(aIndex, gpRosterChanged{ rosters_.back(), true });
    HandleInput(aIndex, gpLogContacted{});
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      OpenLink(entry, aIndex);
    }
    HandleInput(aIndex, gpConfigurationChanged{ MakeConfiguration() });
    HandleInput(aIndex, gpTargetAnnounced{ kService, gpAddress("target"), 4 });
  }

  void OpenLink(std::size_t aDialer, std::size_t aAcceptor)
  {
    const gpLinkId link(++lastLink_);
    links_[link] = { aDialer, aAcceptor };
    HandleInput(aAcceptor,
                gpLinkOpened{ link, processes_[aDialer].peer_, std::nullopt });
    HandleInput(aDialer,
                gpLinkOpened{ link,
                              processes_[aAcceptor].peer_,
                              processes_[aAcceptor].peer_.address_ });
  }

  void CloseLinks(std::size_t aOne, std::size_t aOther)
  {
    std::vector<gpLinkId> closed;
    for (const auto& [link, ends] : links_) {
      if (ends == std::pair(aOne, aOther) || ends == std::pair(aOther, aOne)) {
        closed.push_back(link);
      }
    }
    queues_.erase({ aOne, aOther });
    queues_.erase({ aOther, aOne });
    for (const gpLinkId link : closed) {
      links_.erase(link);
      HandleInput(aOne, gpLinkLost{ link, gpErrorCode::LinkClosed });
      HandleInput(aOther, gpLinkLost{ link, gpErrorCode::LinkClosed });
    }
  }

  bool ExecuteFirst()
  {
    for (const Step& step : ListSteps()) {
      if (step.kind_ == Step::Kind::Deliver ||
          step.kind_ == Step::Kind::Roster) {
        Execute(step);
        return true;
      }
    }
    return false;
  }

  void Submit(std::size_t aEntry)
  {
    gpJobSubmitted event;
    event.request_ = gpRequestId(aEntry + 1);
    event.submission_.service_ = kService;
    event.submission_.team_ = kTeam;
    event.submission_.key_ = gpSubmissionKey("key");
    event.submission_.deadline_ = gpMillis(10000);
    event.submission_.tasks_.resize(1);
    HandleInput(aEntry, event);
  }

  void Deliver(const Step& aStep)
  {
    auto& queue = queues_.at({ aStep.from_, aStep.to_ });
    const auto [link, message] = queue.front();
    queue.pop_front();
    HandleInput(aStep.to_, gpMessageReceived{ link, message });
  }

  void ReadRoster(const Step& aStep)
  {
    Process& process = processes_[aStep.to_];
    const gpRoster roster = rosters_[process.rosterRead_++];
    HandleInput(aStep.to_, gpRosterChanged{ roster, true });
    HandleInput(aStep.to_, gpTimePassed{});
  }

  void PassTime(const Step& aStep)
  {
    --timeouts_;
    Process& process = processes_[aStep.to_];
    process.timedOut_ = true;
    process.now_ += kTimeStep;
    HandleInput(aStep.to_, gpTimePassed{});
  }

  void Replace(const Step& aStep)
  {
    --replacements_;
    const gpIncarnation old = processes_[aStep.to_].peer_.incarnation_;
    for (std::size_t other = 0; other < processes_.size(); ++other) {
      if (other != aStep.to_) {
        CloseLinks(aStep.to_, other);
      }
    }
    gpRoster roster = rosters_.back();
    roster.members_.erase(old);
    Append(roster);
    AddGuard(aStep.to_);
  }

  void BreakLink(const Step& aStep)
  {
    --breaks_;
    CloseLinks(aStep.from_, aStep.to_);
    OpenLink(aStep.from_, aStep.to_);
  }

  void Append(gpRoster aRoster)
  {
    aRoster.epoch_ = gpRosterEpoch(rosters_.size());
    aRoster.claimableServices_[kService] =
      aRoster.claimableServices_[kService] || aRoster.members_.size() >= 2;
    rosters_.push_back(std::move(aRoster));
  }

  template<typename Input>
  void HandleInput(std::size_t aProcess, Input aInput)
  {
    Process& process = processes_[aProcess];
    std::vector<gpEffect> effects;
    if constexpr (std::is_constructible_v<decltype(gpEntryEvent::input_),
                                          Input>) {
      if (process.entry_) {
        effects = process.entry_->Reduce({ process.now_, aInput });
      }
    }
    if constexpr (std::is_constructible_v<decltype(gpGuardEvent::input_),
                                          Input>) {
      if (process.guard_) {
        effects = process.guard_->Reduce({ process.now_, aInput });
      }
    }
    for (const gpEffect& effect : effects) {
      std::visit([&](const auto& aEffect) { Apply(aProcess, aEffect); },
                 effect);
    }
  }

  void Apply(std::size_t aProcess, const gpSend& aEffect)
  {
    const auto link = links_.find(aEffect.link_);
    if (link == links_.end() || !BelongsToClaims(aEffect.message_)) {
      return;
    }
    const auto [dialer, acceptor] = link->second;
    const std::size_t to = aProcess == dialer ? acceptor : dialer;
    queues_[{ aProcess, to }].emplace_back(aEffect.link_, aEffect.message_);
  }

  void Apply(std::size_t aProcess, const gpWatchAddress& aEffect)
  {
    const std::size_t to = std::stoul(aEffect.address_.value_);
    if (processes_[aProcess].guard_ && to >= kEntries && to != aProcess) {
      OpenLink(aProcess, to);
    }
  }

  void Apply(std::size_t, const gpJoinRoster& aEffect)
  {
    gpRoster roster = rosters_.back();
    roster.members_.insert_or_assign(aEffect.member_.guard_, aEffect.member_);
    Append(std::move(roster));
  }

  void Apply(std::size_t, const gpWriteTimeline& aEffect)
  {
    const gpTimelineEvent& event = aEffect.event_;
    if (event.kind_ == gpEventKind::ClaimWon) {
      claimants_.insert(*event.job_);
      wasWon_ = true;
    } else if (event.kind_ == gpEventKind::ClaimWithdrawn) {
      claimants_.erase(*event.job_);
    }
  }

  template<typename Effect>
  void Apply(std::size_t, const Effect&)
  {
  }

  using Ends = std::pair<std::size_t, std::size_t>;
  using Queue = std::deque<std::pair<gpLinkId, gpMessage>>;

  std::vector<Process> processes_;
  std::map<gpLinkId, Ends> links_;
  std::map<Ends, Queue> queues_;
  std::vector<gpRoster> rosters_;
  std::set<gpJobId> claimants_;
  std::uint64_t lastIncarnation_ = 100;
  std::uint64_t lastLink_ = 0;
  std::size_t replacements_;
  std::size_t breaks_;
  std::size_t timeouts_;
  bool wasWon_ = false;
};

gpClaimSearch::gpClaimSearch(gpClaimSearchOptions aOptions)
  : options_(aOptions)
{
}

gpClaimSearch::~gpClaimSearch() = default;

std::vector<std::string>
gpClaimSearch::Run()
{
  std::vector<Step> path;
  Explore(path, {});
  return violatingSteps_;
}

void
gpClaimSearch::Explore(std::vector<Step>& aPath, std::set<Step> aSleep)
{
  if (!violatingSteps_.empty() || interleavings_ >= options_.limit_) {
    return;
  }
  World world(options_);
  for (const Step& step : aPath) {
    world.Execute(step);
  }
  if (world.CountClaimants() > 1) {
    for (const Step& step : aPath) {
      violatingSteps_.push_back(step.Describe());
    }
    return;
  }
  const std::vector<Step> steps = world.ListSteps();
  if (steps.empty()) {
    ++interleavings_;
    won_ += world.WasWon() ? 1 : 0;
    return;
  }
  for (const Step& step : steps) {
    if (aSleep.contains(step)) {
      continue;
    }
    std::set<Step> sleep;
    std::ranges::copy_if(
      aSleep, std::inserter(sleep, sleep.end()), [&](const Step& aOther) {
        return aOther.CommutesWith(step);
      });
    aPath.push_back(step);
    Explore(aPath, std::move(sleep));
    aPath.pop_back();
    aSleep.insert(step);
  }
}

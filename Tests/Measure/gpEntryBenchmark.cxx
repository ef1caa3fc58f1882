#include "gpEntryBenchmark.h"

namespace {

const gpServiceName kService("service");
const gpTeamName kTeam("team");
constexpr std::uint32_t kSlots = 8;
constexpr gpMicros kRunTime{ 100000 };
constexpr std::size_t kDataCentres = 26;
constexpr std::size_t kRacks = 3;

} // namespace

gpMember
gpMeasuredMember(std::size_t aIndex)
{
  gpMember member;
  member.guard_ = gpIncarnation(1000 + aIndex);
  member.address_ = gpAddress("10.0.0.1:" + std::to_string(aIndex));
  member.service_ = kService;
  member.dataCentre_ =
    gpDataCentreName("dc" + std::to_string(aIndex % kDataCentres));
  member.rack_ = gpRackName("rack" + std::to_string(aIndex % kRacks));
  member.slots_ = kSlots;
  return member;
}

gpRoster
gpMeasuredRoster(std::size_t aMembers)
{
  gpRoster roster;
  roster.epoch_ = gpRosterEpoch(aMembers);
  roster.claimableServices_[kService] = aMembers >= 2;
  for (std::size_t index = 0; index < aMembers; ++index) {
    const gpMember member = gpMeasuredMember(index);
    roster.members_.emplace(member.guard_, member);
  }
  return roster;
}

gpVersionedConfiguration
gpMeasuredConfiguration()
{
  constexpr std::uint32_t kUnlimited = 1000000;
  gpServiceConfig service;
  service.name_ = kService;
  service.limits_.queueTasks_ = kUnlimited;
  service.limits_.maxDeadline_ = gpMillis(3600000);
  gpTeamConfig team;
  team.name_ = kTeam;
  team.services_ = { kService };
  team.maxTasks_ = kUnlimited;
  gpVersionedConfiguration versioned;
  versioned.version_ = gpConfigVersion(1);
  versioned.configuration_.services_.emplace(kService, service);
  versioned.configuration_.teams_.emplace(kTeam, team);
  return versioned;
}

gpEntryBenchmark::gpEntryBenchmark(std::size_t aGuards)
  : guards_(aGuards)
  , reducer_(gpPeer{ gpRole::Entry, "entry", gpIncarnation(1), {} },
             gpTimings{},
             1)
{
  const gpRoster roster = gpMeasuredRoster(guards_);
  epoch_ = roster.epoch_;
  Process(gpConfigurationChanged{ gpMeasuredConfiguration() });
  Process(gpRosterChanged{ roster, true });
  for (std::size_t index = 0; index < guards_; ++index) {
    const gpMember member = gpMeasuredMember(index);
    const gpPeer peer{ gpRole::Guard, "guard", member.guard_, member.address_ };
    Process(gpLinkOpened{ gpLinkId(index + 1), peer, member.address_ });
  }
}

void
gpEntryBenchmark::RunJob(std::size_t aTasks)
{
  Process(MakeSubmission(aTasks));
  while (!replies_.empty()) {
    const gpMessageReceived reply = replies_.front();
    replies_.pop_front();
    now_ += gpMicros(10);
    Process(reply);
  }
}

void
gpEntryBenchmark::AddWaitingJob(std::size_t aTasks)
{
  answerStarts_ = false;
  RunJob(aTasks);
}

template<typename Input>
void
gpEntryBenchmark::Process(Input aInput)
{
  gpEntryEvent event;
  event.now_ = now_;
  event.input_ = std::move(aInput);
  for (const gpEffect& effect : reducer_.Reduce(event)) {
    if (const auto* send = std::get_if<gpSend>(&effect)) {
      Deliver(*send);
    } else if (std::holds_alternative<gpAnswerCaller>(effect)) {
      ++answers_;
    }
  }
}

void
gpEntryBenchmark::Deliver(const gpSend& aSend)
{
  ++messages_;
  if (const auto* claim = std::get_if<gpClaimRequest>(&aSend.message_)) {
    gpClaimReply reply;
    reply.job_ = claim->claimant_.job_;
    reply.verdict_ = gpClaimVerdict::Granted;
    reply.epoch_ = epoch_;
    replies_.push_back({ aSend.link_, reply });
  }
  const auto* start = std::get_if<gpStart>(&aSend.message_);
  if (start != nullptr && answerStarts_) {
    gpStartResult result;
    result.task_ = start->task_;
    result.attempt_ = start->attempt_;
    result.end_ = gpTaskEnd::Answered;
    result.result_ = gpTaskResult{ 200, "result" };
    result.runTime_ = kRunTime;
    result.freeSlots_ = kSlots;
    replies_.push_back({ aSend.link_, result });
  }
}

gpJobSubmitted
gpEntryBenchmark::MakeSubmission(std::size_t aTasks)
{
  gpJobSubmitted event;
  event.request_ = gpRequestId(++lastRequest_);
  event.submission_.service_ = kService;
  event.submission_.team_ = kTeam;
  event.submission_.key_ =
    gpSubmissionKey("submission-" + std::to_string(lastRequest_));
  event.submission_.deadline_ = gpMillis(3000000);
  event.submission_.tasks_.resize(aTasks);
  for (gpTaskRequest& task : event.submission_.tasks_) {
    task.path_ = "/v1/hold";
    task.body_ = std::string(100, 'b');
  }
  return event;
}

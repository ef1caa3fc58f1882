#include "gpStartsFixture.h"

#include <chrono>
#include <thread>

#include <boost/json.hpp>

#include "gpTestFailure.h"

namespace {

constexpr gpMillis kPollPeriod(10);

std::uint64_t
NumberIn(const std::string& aJson, const char* aName)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aJson, error);
  const auto* number = error ? nullptr : value.as_object().if_contains(aName);
  return number == nullptr ? 0 : number->to_number<std::uint64_t>();
}

} // namespace

gpTimings
gpMakeShortTimings()
{
  gpTimings timings;
  timings.heartbeat_ = gpMillis(100);
  timings.linkSilence_ = gpMillis(400);
  timings.inDoubt_ = gpMillis(600);
  timings.memberRemoval_ = gpMillis(1500);
  return timings;
}

gpTestClusterOptions
gpStartsFixture::DefaultOptions()
{
  gpTestClusterOptions options;
  options.targets_ = kGuards;
  options.slots_ = 4;
  options.linkProxies_ = true;
  options.timings_ = gpMakeShortTimings();
  return options;
}

gpStartsFixture::gpStartsFixture(gpTestClusterOptions aOptions)
  : cluster_(std::move(aOptions))
{
  cluster_.Apply(cluster_.DefaultConfiguration());
  cluster_.WaitUntilReady();
  for (std::size_t i = 0; i < cluster_.GetEntryCount(); ++i) {
    WarmUp(i);
  }
}

void
gpStartsFixture::WarmUp(std::size_t aEntry)
{
  constexpr std::size_t kTasks = 12;
  constexpr gpMillis kRunTime(5);
  WaitUntil("an entry to reach all guards", [&] {
    MarkAll();
    const std::string key = "warm-up-" + std::to_string(warmUps_++);
    const gpTestAnswer answer =
      SubmitAndRecord(aEntry, MakeJob(key, kTasks, kRunTime));
    return answer.outcome_ == "complete" && HaveAllAdmitted();
  });
  MarkAll();
  warmUpStarts_ = cluster_.TotalStarts();
}

std::size_t
gpStartsFixture::TotalStarts() const
{
  return cluster_.TotalStarts() - warmUpStarts_;
}

gpTestJob
gpStartsFixture::MakeJob(const std::string& aKey,
                         std::size_t aTasks,
                         gpMillis aRunTime)
{
  gpTestJob job;
  job.key_ = aKey;
  for (std::size_t i = 0; i < aTasks; ++i) {
    job.tasks_.push_back(gpMakeTestTask(aRunTime));
  }
  return job;
}

void
gpStartsFixture::SetLinks(const std::string& aMode,
                          const std::string& aDirection)
{
  const std::string command = boost::json::serialize(
    boost::json::object{ { "mode", aMode }, { "direction", aDirection } });
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Control(cluster_.Proxy(i), command);
  }
}

gpTestCall
gpStartsFixture::SubmitAndHoldStarts(const gpTestJob& aJob,
                                     const std::string& aMode)
{
  constexpr std::size_t kGrants = 2;
  const std::size_t grants = CountAtGuards("claim_granted") + kGrants;
  SetLinks("hold", "to_client");
  gpTestCall call = cluster_.Submit(0, aJob);
  WaitAtGuards("claim_granted", grants);
  SetLinks(aMode, "to_server");
  SetLinks("pass", "to_client");
  cluster_.Entry(0).WaitForEvent("task_sent");
  return call;
}

gpTestAnswer
gpStartsFixture::SubmitAndRecord(std::size_t aEntry, const gpTestJob& aJob)
{
  gpTestCall call = cluster_.Submit(aEntry, aJob);
  return WaitForAnswer(aJob, call);
}

gpTestAnswer
gpStartsFixture::SubmitUntilFinal(std::size_t aEntry, const gpTestJob& aJob)
{
  gpTestAnswer answer;
  WaitUntil("a final answer of " + aJob.key_, [&] {
    answer = SubmitAndRecord(aEntry, aJob);
    return answer.outcome_ == "complete" || answer.outcome_ == "failed";
  });
  return answer;
}

gpTestAnswer
gpStartsFixture::WaitForAnswer(const gpTestJob& aJob, gpTestCall& aCall)
{
  gpTestAnswer answer = gpReadAnswer(aCall.reply_.get());
  checker_.Record(aJob, answer, cluster_.ReadStarts());
  return answer;
}

std::size_t
gpStartsFixture::CountAtGuards(const std::string& aKind)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < kGuards; ++i) {
    count += cluster_.Guard(i).CountEvents(aKind);
  }
  return count;
}

void
gpStartsFixture::WaitAtGuards(const std::string& aKind, std::size_t aCount)
{
  WaitUntil(aKind, [&] { return CountAtGuards(aKind) >= aCount; });
}

std::size_t
gpStartsFixture::FindGuardWith(const std::string& aKind)
{
  WaitAtGuards(aKind, 1);
  std::size_t guard = 0;
  while (cluster_.Guard(guard).CountEvents(aKind) == 0) {
    ++guard;
  }
  return guard;
}

std::uint64_t
gpStartsFixture::CountLinks()
{
  std::uint64_t links = 0;
  for (std::size_t i = 0; i < kGuards; ++i) {
    links += NumberIn(cluster_.Show(cluster_.Proxy(i)), "accepted");
  }
  return links;
}

void
gpStartsFixture::WaitForNewLinks(std::uint64_t aBefore)
{
  WaitUntil("new links",
            [this, aBefore] { return CountLinks() >= aBefore + kGuards; });
}

void
gpStartsFixture::WaitUntilOldLinksClosed()
{
  WaitUntil("old links to close", [this] {
    bool ended = true;
    for (std::size_t i = 0; i < kGuards; ++i) {
      const std::string counts = cluster_.Show(cluster_.Proxy(i));
      ended = ended && NumberIn(counts, "open") <= cluster_.GetEntryCount();
    }
    return ended;
  });
}

void
gpStartsFixture::WaitUntil(const std::string& aWhat,
                           const std::function<bool()>& aCondition) const
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw gpTestFailure("timed out waiting for " + aWhat);
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

std::string
gpStartsFixture::FindViolations()
{
  WaitUntil("no task to be in flight", [this] { return IsIdle(); });
  return checker_.FindViolations(cluster_.ReadStarts());
}

bool
gpStartsFixture::HaveAllAdmitted()
{
  bool all = true;
  for (std::size_t i = 0; i < kGuards; ++i) {
    all = all && cluster_.Guard(i).CountEvents("task_admitted") > 0;
  }
  return all;
}

void
gpStartsFixture::MarkAll()
{
  for (std::size_t i = 0; i < kGuards; ++i) {
    cluster_.Guard(i).Mark();
  }
  for (std::size_t i = 0; i < cluster_.GetEntryCount(); ++i) {
    cluster_.Entry(i).Mark();
  }
}

bool
gpStartsFixture::IsIdle()
{
  std::uint64_t busy = 0;
  const auto add = [&](gpTestProcess& aProcess) {
    if (aProcess.IsRunning()) {
      const std::string status =
        gpBodyOf(cluster_.Http().Get(aProcess.Address("http"), "/v1/status"));
      busy += NumberIn(status, "in_flight") + NumberIn(status, "waiting");
    }
  };
  for (std::size_t i = 0; i < cluster_.GetEntryCount(); ++i) {
    add(cluster_.Entry(i));
  }
  for (std::size_t i = 0; i < kGuards; ++i) {
    add(cluster_.Guard(i));
    if (cluster_.Target(i).IsRunning()) {
      busy += NumberIn(cluster_.Show(cluster_.Target(i)), "running");
    }
  }
  return busy == 0;
}

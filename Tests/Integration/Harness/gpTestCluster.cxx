#include "gpTestCluster.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include <boost/json.hpp>

#include "gpTestFailure.h"
#include "gpTestSettings.h"

namespace {

constexpr gpMillis kPollPeriod(20);
constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kTargetsPerRack = 3;

/// A count in the JSON of /v1/status. If the field is a list, its length.
std::size_t
StatusCount(const std::string& aStatus, const char* aField)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aStatus, error);
  const boost::json::value* members =
    error ? nullptr : value.as_object().if_contains(aField);
  if (members == nullptr) {
    return 0;
  }
  return members->is_array() ? members->get_array().size()
                             : members->to_number<std::size_t>();
}

} // namespace

gpTestCluster::gpTestCluster(gpTestClusterOptions aOptions)
  : options_(std::move(aOptions))
{
  log_ = StartStandIn("log", "gp-stand-in-log", {});
  for (std::size_t i = 0; i < options_.entries_; ++i) {
    AddEntry();
  }
  for (std::size_t i = 0; i < options_.targets_; ++i) {
    AddTarget();
  }
}

gpTestCluster::~gpTestCluster() = default;

void
gpTestCluster::Apply(const std::string& aFile)
{
  const std::uint64_t base = version_++;
  boost::json::object record{ { "kind", "apply" },
                              { "version", version_ },
                              { "base", base },
                              { "apply_id",
                                "test-" + std::to_string(version_) },
                              { "file", boost::json::parse(aFile) } };
  const gpHttpReply reply = http_.Post(log_->Address("service"),
                                       "/v1/streams/configuration/records",
                                       boost::json::serialize(record));
  if (gpStatusOf(reply) != 201) {
    throw gpTestFailure("the log service rejected the configuration");
  }
}

std::string
gpTestCluster::DefaultConfiguration() const
{
  const boost::json::object service{ { "region", options_.region_ } };
  const boost::json::object team{ { "services",
                                    boost::json::array{ options_.service_ } } };
  boost::json::object file;
  file["services"] = boost::json::object{ { options_.service_, service } };
  file["teams"] = boost::json::object{ { "garden-center-7", team } };
  return boost::json::serialize(file);
}

void
gpTestCluster::WaitUntilReady()
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  for (const ProcessPtr& entry : entries_) {
    while (entry->IsRunning() && !IsReady(*entry)) {
      if (std::chrono::steady_clock::now() > end) {
        throw gpTestFailure(entry->Name() + " isn't ready");
      }
      std::this_thread::sleep_for(kPollPeriod);
    }
  }
}

bool
gpTestCluster::IsReady(gpTestProcess& aEntry)
{
  const gpAddress address = aEntry.Address("http");
  const auto running = std::count_if(
    groups_.begin(), groups_.end(), [](const TargetGroup& aGroup) {
      return aGroup.guard_->IsRunning() && aGroup.target_->IsRunning();
    });
  const auto expected = static_cast<std::size_t>(running);
  const std::string status = gpBodyOf(http_.Get(address, "/v1/status"));
  // An entry can't send tasks to a member before their link is up.
  return gpStatusOf(http_.Get(address, "/readyz")) == 200 &&
         StatusCount(status, "members") == expected &&
         StatusCount(status, "linked") == expected;
}

std::size_t
gpTestCluster::AddTarget()
{
  const std::size_t index = groups_.size();
  TargetGroup group;
  gpAddress advertised;
  if (options_.linkProxies_) {
    group.proxy_ =
      StartStandIn("proxy-" + std::to_string(index), "gp-stand-in-proxy", {});
    advertised = group.proxy_->Address("service");
  }
  group.guard_ = StartGuard(index, advertised);
  if (group.proxy_) {
    const std::string links = group.guard_->Address("links").value_;
    Control(*group.proxy_,
            boost::json::serialize(boost::json::object{ { "to", links } }));
  }
  group.target_ = StartTarget(index, group.guard_->Address("http"));
  groups_.push_back(std::move(group));
  return index;
}

gpTestProcess&
gpTestCluster::Guard(std::size_t aIndex)
{
  return *groups_.at(aIndex).guard_;
}

gpTestProcess&
gpTestCluster::Target(std::size_t aIndex)
{
  return *groups_.at(aIndex).target_;
}

gpTestProcess&
gpTestCluster::Proxy(std::size_t aIndex)
{
  if (!groups_.at(aIndex).proxy_) {
    throw gpTestFailure("the cluster has no link proxies");
  }
  return *groups_.at(aIndex).proxy_;
}

gpTestCall
gpTestCluster::Submit(std::size_t aEntry, const gpTestJob& aJob)
{
  return http_.Call(Entry(aEntry).Address("http"),
                    gpJobRequest(aJob),
                    aJob.deadline_ + kTestTimeout);
}

gpTestAnswer
gpTestCluster::SubmitAndWait(std::size_t aEntry, const gpTestJob& aJob)
{
  return gpReadAnswer(Submit(aEntry, aJob).reply_.get());
}

void
gpTestCluster::Control(gpTestProcess& aStandIn, const std::string& aCommand)
{
  const gpHttpReply reply =
    http_.Post(aStandIn.Address("control"), "/control", aCommand);
  if (gpStatusOf(reply) != 200) {
    throw gpTestFailure(aStandIn.Name() + " refused " + aCommand + ": " +
                        gpBodyOf(reply));
  }
}

std::string
gpTestCluster::Show(gpTestProcess& aStandIn)
{
  return gpBodyOf(http_.Get(aStandIn.Address("control"), "/control"));
}

std::map<std::string, std::size_t>
gpTestCluster::ReadStarts() const
{
  return journals_.Read();
}

std::size_t
gpTestCluster::TotalStarts() const
{
  std::size_t total = 0;
  for (const auto& [key, count] : journals_.Read()) {
    total += count;
  }
  return total;
}

std::size_t
gpTestCluster::StartsAt(std::size_t aTarget) const
{
  return journals_.CountIn(aTarget);
}

std::size_t
gpTestCluster::MaxStartsOfAnyTask() const
{
  std::size_t most = 0;
  for (const auto& [key, count] : journals_.Read()) {
    most = std::max(most, count);
  }
  return most;
}

std::size_t
gpTestCluster::StartsOf(const std::string& aKey, std::uint32_t aTask) const
{
  const auto starts = journals_.Read();
  const auto found = starts.find(aKey + "/" + std::to_string(aTask));
  return found == starts.end() ? 0 : found->second;
}

gpTestCluster::ProcessPtr
gpTestCluster::StartStandIn(const std::string& aName,
                            const std::string& aProgram,
                            std::vector<std::string> aArguments)
{
  auto process =
    std::make_unique<gpTestProcess>(gpTestCommand{ .name_ = aName,
                                                   .program_ = aProgram,
                                                   .arguments_ = aArguments,
                                                   .folder_ = folder_.Path(),
                                                   .eventLog_ = {} });
  process->Start();
  // Later starts listen on the same ports.
  aArguments.insert(aArguments.end(),
                    { "--listen",
                      process->Address("service").value_,
                      "--control",
                      process->Address("control").value_ });
  process->SetArguments(std::move(aArguments));
  return process;
}

template<typename Settings>
gpTestCluster::ProcessPtr
gpTestCluster::StartProcess(const std::string& aProgram, Settings aSettings)
{
  const auto file = folder_.Path() / (aSettings.name_ + ".json");
  gpWriteSettings(file, aSettings);
  auto process = std::make_unique<gpTestProcess>(
    gpTestCommand{ .name_ = aSettings.name_,
                   .program_ = aProgram,
                   .arguments_ = { "--config", file.string() },
                   .folder_ = folder_.Path(),
                   .eventLog_ = aSettings.eventLog_ });
  process->Start();
  // Later starts listen on the same ports.
  aSettings.httpListen_ = process->Address("http");
  aSettings.linkListen_ = process->Address("links");
  gpWriteSettings(file, aSettings);
  return process;
}

template<typename Settings>
Settings
gpTestCluster::CommonSettings(const std::string& aName,
                              std::size_t aIndex) const
{
  const std::size_t dataCentre = aIndex % kDataCentres;
  const std::size_t rack = aIndex / (kDataCentres * kTargetsPerRack);
  const std::string dataCentreName = "dc-" + std::to_string(dataCentre + 1);
  Settings settings;
  settings.name_ = aName;
  settings.site_ = { .region_ = gpRegionName(options_.region_),
                     .dataCentre_ = gpDataCentreName(dataCentreName),
                     .rack_ = gpRackName(dataCentreName + "-rack-" +
                                         std::to_string(rack + 1)) };
  settings.httpListen_ = gpAddress("127.0.0.1:0");
  settings.linkListen_ = gpAddress("127.0.0.1:0");
  settings.logService_ = log_->Address("service");
  settings.eventLog_ = (folder_.Path() / (aName + ".events")).string();
  settings.timings_ = options_.timings_;
  return settings;
}

void
gpTestCluster::AddEntry()
{
  const std::size_t index = entries_.size();
  entries_.push_back(StartProcess(
    "gypsumpoint-entry",
    CommonSettings<gpEntrySettings>("entry-" + std::to_string(index), index)));
}

gpTestCluster::ProcessPtr
gpTestCluster::StartGuard(std::size_t aIndex, const gpAddress& aAdvertised)
{
  auto settings =
    CommonSettings<gpGuardSettings>("guard-" + std::to_string(aIndex), aIndex);
  settings.linkAdvertise_ = aAdvertised;
  settings.timings_ = options_.guardTimings_.value_or(options_.timings_);
  for (const ProcessPtr& entry : entries_) {
    settings.entries_.push_back(entry->Address("links"));
  }
  return StartProcess("gypsumpoint-guard", std::move(settings));
}

gpTestCluster::ProcessPtr
gpTestCluster::StartTarget(std::size_t aIndex, const gpAddress& aGuard)
{
  const std::string name = "target-" + std::to_string(aIndex);
  const auto journal = folder_.Path() / (name + ".journal");
  journals_.Add(journal);
  const double speed =
    aIndex < options_.speeds_.size() ? options_.speeds_[aIndex] : 1;
  return StartStandIn(name,
                      "gp-stand-in-target",
                      { "--slots",
                        std::to_string(options_.slots_),
                        "--speed",
                        std::to_string(speed),
                        "--service",
                        options_.service_,
                        "--announce-to",
                        aGuard.value_,
                        "--journal",
                        journal.string() });
}

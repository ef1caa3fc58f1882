#include "gpPlatformCluster.h"

#include <fstream>
#include <thread>
#include <utility>

#include <boost/json.hpp>

#include "gpTestFailure.h"

namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";
constexpr int kOk = 200;

} // namespace

gpPlatformCluster::gpPlatformCluster(std::size_t aEntries, std::size_t aGuards)
  : gpPlatformCluster(gpPlatformClusterOptions{ aEntries, aGuards })
{
}

gpPlatformCluster::gpPlatformCluster(gpPlatformClusterOptions aOptions)
  : options_(aOptions)
{
  store_ = StartStandIn("store", "gp-stand-in-store");
  storeAddress_ = store_->Address("service");
  if (options_.proxies_) {
    storeProxy_ = StartProxy("store-proxy");
    SetProxyServer(*storeProxy_, storeAddress_);
    storeAddress_ = storeProxy_->Address("service");
  }
  for (std::size_t index = 0; index < options_.entries_; ++index) {
    StartEntry(index);
  }
  for (std::size_t index = 0; index < options_.guards_; ++index) {
    StartGuard(index);
  }
}

std::unique_ptr<gpTestProcess>
gpPlatformCluster::StartStandIn(const std::string& aName,
                                const std::string& aProgram,
                                const std::vector<std::string>& aMoreArguments)
{
  gpTestCommand command;
  command.name_ = aName;
  command.program_ = aProgram;
  command.arguments_ = { "--listen", kAnyPort, "--control", kAnyPort };
  command.arguments_.insert(
    command.arguments_.end(), aMoreArguments.begin(), aMoreArguments.end());
  command.folder_ = folder_.Path();
  auto process = std::make_unique<gpTestProcess>(std::move(command));
  process->Start();
  return process;
}

std::unique_ptr<gpTestProcess>
gpPlatformCluster::StartProxy(const std::string& aName)
{
  return StartStandIn(aName, "gp-stand-in-proxy");
}

void
gpPlatformCluster::SetProxyServer(gpTestProcess& aProxy,
                                  const gpAddress& aServer)
{
  Control(aProxy, R"({"to":")" + aServer.value_ + R"("})");
}

std::filesystem::path
gpPlatformCluster::WorkerJournal(std::size_t aIndex) const
{
  return folder_.Path() / ("worker-" + std::to_string(aIndex) + ".journal");
}

std::string
gpPlatformCluster::WriteSettings(const std::string& aName,
                                 const std::string& aText)
{
  const std::filesystem::path file = folder_.Path() / (aName + ".json");
  std::ofstream(file) << aText;
  return file.string();
}

std::string
gpPlatformCluster::CommonSettings(const std::string& aName) const
{
  return R"({"name":")" + aName +
         R"(","site":{"region":"r","data_centre":"dc-1"},)"
         R"("status":{"listen":"127.0.0.1:0"},"grace_ms":4000,)"
         R"("store":{"address":")" +
         storeAddress_.value_ + R"("},"entries":{"addresses":[)" + entryLinks_ +
         "]},";
}

void
gpPlatformCluster::StartEntry(std::size_t aIndex)
{
  const std::string name = "entry-" + std::to_string(aIndex);
  std::string links = R"("links":{"listen":"127.0.0.1:0")";
  if (options_.proxies_) {
    entryProxies_.push_back(StartProxy(name + "-proxy"));
    links += R"(,"advertise":")" +
             entryProxies_.back()->Address("service").value_ + "\"";
  }
  const std::string file =
    WriteSettings(name,
                  CommonSettings(name) + links +
                    R"(},"metrics":{"listen":"127.0.0.1:0"},)"
                    R"("callers":{"listen":"127.0.0.1:0"}})");
  entries_.push_back(std::make_unique<gpTestProcess>(
    gpTestCommand{ .name_ = name,
                   .program_ = "gypsumpoint-entry",
                   .arguments_ = { "--config", file },
                   .folder_ = folder_.Path() }));
  StartEntryAgain(aIndex);
  const gpAddress address = options_.proxies_
                              ? EntryProxy(aIndex).Address("service")
                              : Entry(aIndex).Address("links");
  entryLinks_ += (entryLinks_.empty() ? "\"" : ",\"") + address.value_ + "\"";
}

void
gpPlatformCluster::StartEntryAgain(std::size_t aIndex)
{
  Entry(aIndex).Start();
  if (options_.proxies_) {
    SetProxyServer(EntryProxy(aIndex), Entry(aIndex).Address("links"));
  }
}

void
gpPlatformCluster::StartGuard(std::size_t aIndex)
{
  const std::string number = std::to_string(aIndex);
  const std::string worker = "worker-" + number;
  workers_.push_back(
    StartStandIn(worker,
                 "gp-stand-in-worker",
                 { "--journal", WorkerJournal(aIndex).string() }));
  gpAddress address = Worker(aIndex).Address("service");
  if (options_.proxies_) {
    workerProxies_.push_back(StartProxy(worker + "-proxy"));
    SetProxyServer(WorkerProxy(aIndex), address);
    address = WorkerProxy(aIndex).Address("service");
  }
  const std::string name = "guard-" + number;
  const std::string file = WriteSettings(
    name,
    CommonSettings(name) +
      R"("links":{"listen":"127.0.0.1:0"},"target":{"listen":"127.0.0.1:0",)"
      R"("service":"ponds","address":")" +
      address.value_ + R"("}})");
  guards_.push_back(std::make_unique<gpTestProcess>(
    gpTestCommand{ .name_ = name,
                   .program_ = "gypsumpoint-guard",
                   .arguments_ = { "--config", file },
                   .folder_ = folder_.Path() }));
  StartGuardAgain(aIndex);
}

void
gpPlatformCluster::StartGuardAgain(std::size_t aIndex)
{
  Guard(aIndex).Start();
  SendGuardAddress(aIndex);
}

void
gpPlatformCluster::StartWorkerAgain(std::size_t aIndex)
{
  Worker(aIndex).Start();
  if (options_.proxies_) {
    SetProxyServer(WorkerProxy(aIndex), Worker(aIndex).Address("service"));
  }
  SendGuardAddress(aIndex);
}

void
gpPlatformCluster::SendGuardAddress(std::size_t aIndex)
{
  Control(Worker(aIndex),
          R"({"guard":")" + Guard(aIndex).Address("target").value_ + R"("})");
}

void
gpPlatformCluster::RestartGuard(std::size_t aIndex)
{
  Guard(aIndex).Kill();
  StartGuardAgain(aIndex);
}

gpHttpReply
gpPlatformCluster::Control(gpTestProcess& aStandIn, const std::string& aBody)
{
  return http_.Post(aStandIn.Address("control"), "/control", aBody);
}

void
gpPlatformCluster::Configure(std::uint64_t aVersion)
{
  Control(*store_,
          R"({"configuration":{"version":)" + std::to_string(aVersion) +
            R"(,"routes":[{"name":"hold","host":"ponds",)"
            R"("pathPrefix":"/hold/","timeoutMs":4000,"sloMs":4000,)"
            R"("priority":0,"service":"ponds","maxAttempts":2,)"
            R"("stretch":1.6}]}})");
}

void
gpPlatformCluster::WaitUntilReady()
{
  for (const auto& entry : entries_) {
    entry->WaitForEvent("configuration_in_force");
    for (const auto& guard : guards_) {
      entry->WaitForEvent("link_up", { { "detail", guard->Name() } });
    }
  }
  // Jobs are refused until the entry has received the targets' updates, which
  // follow after the link is up.
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    int status = 0;
    for (int number = 0; status != kOk; ++number) {
      const std::string job =
        "00000000000" + std::to_string(10000 + number + 1000 * entry);
      status = gpStatusOf(Submit(entry, job, 1, gpMillis(1)).reply_.get());
      std::this_thread::sleep_for(gpMillis(10));
    }
  }
}

gpTestCall
gpPlatformCluster::Submit(std::size_t aEntry,
                          const std::string& aJob,
                          int aTasks,
                          gpMillis aRunTime,
                          const std::string& aSpecSuffix)
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = "/hold/" + aJob;
  request.headers_ = { { "host", "ponds" },
                       { "content-type", "application/json" } };
  const std::string spec =
    R"({"run_ms":)" + std::to_string(aRunTime.count()) + aSpecSuffix + "}";
  request.body_ = boost::json::serialize(boost::json::object{
    { "spec", spec },
    { "bestEffort", true },
    { "steps",
      { boost::json::object{ { "count", aTasks },
                             { "cpu", 1000 },
                             { "memMb", 64 },
                             { "estimateMs", aRunTime.count() } } } } });
  return http_.Call(entries_[aEntry]->Address("callers"), std::move(request));
}

std::uint64_t
gpPlatformCluster::CountStarts(const std::string& aJob)
{
  std::uint64_t starts = 0;
  for (const auto& worker : workers_) {
    const gpHttpReply reply = http_.Get(worker->Address("control"), "/control");
    const boost::json::value shown = boost::json::parse(gpBodyOf(reply));
    for (const auto& [task, count] : shown.at("starts").as_object()) {
      if (std::string_view(task.data(), task.size()).starts_with(aJob)) {
        starts += count.to_number<std::uint64_t>();
      }
    }
  }
  return starts;
}

std::uint64_t
gpPlatformCluster::CountRunning()
{
  std::uint64_t running = 0;
  for (const auto& worker : workers_) {
    const gpHttpReply reply = http_.Get(worker->Address("control"), "/control");
    running += boost::json::parse(gpBodyOf(reply))
                 .at("running")
                 .to_number<std::uint64_t>();
  }
  return running;
}

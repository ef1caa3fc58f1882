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
{
  store_ = StartStandIn("store", "gp-stand-in-store");
  for (std::size_t index = 0; index < aEntries; ++index) {
    StartEntry(index);
  }
  for (std::size_t index = 0; index < aGuards; ++index) {
    StartGuard(index);
  }
}

std::unique_ptr<gpTestProcess>
gpPlatformCluster::StartStandIn(const std::string& aName,
                                const std::string& aProgram)
{
  auto process = std::make_unique<gpTestProcess>(gpTestCommand{
    .name_ = aName,
    .program_ = aProgram,
    .arguments_ = { "--listen", kAnyPort, "--control", kAnyPort },
    .folder_ = folder_.Path() });
  process->Start();
  return process;
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
         R"("links":{"listen":"127.0.0.1:0"},)"
         R"("status":{"listen":"127.0.0.1:0"},"grace_ms":4000,)"
         R"("store":{"address":")" +
         store_->Address("service").value_ + R"("},"entries":{"addresses":[)" +
         entryLinks_ + "]},";
}

void
gpPlatformCluster::StartEntry(std::size_t aIndex)
{
  const std::string name = "entry-" + std::to_string(aIndex);
  const std::string file = WriteSettings(
    name, CommonSettings(name) + R"("callers":{"listen":"127.0.0.1:0"}})");
  auto process = std::make_unique<gpTestProcess>(
    gpTestCommand{ .name_ = name,
                   .program_ = "gypsumpoint-entry",
                   .arguments_ = { "--config", file },
                   .folder_ = folder_.Path() });
  process->Start();
  entryLinks_ += (entryLinks_.empty() ? "\"" : ",\"") +
                 process->Address("links").value_ + "\"";
  entries_.push_back(std::move(process));
}

void
gpPlatformCluster::StartGuard(std::size_t aIndex)
{
  const std::string number = std::to_string(aIndex);
  auto worker = StartStandIn("worker-" + number, "gp-stand-in-worker");
  const std::string name = "guard-" + number;
  const std::string file =
    WriteSettings(name,
                  CommonSettings(name) +
                    R"("target":{"listen":"127.0.0.1:0",)"
                    R"("service":"ponds","address":")" +
                    worker->Address("service").value_ + R"("}})");
  auto process = std::make_unique<gpTestProcess>(
    gpTestCommand{ .name_ = name,
                   .program_ = "gypsumpoint-guard",
                   .arguments_ = { "--config", file },
                   .folder_ = folder_.Path() });
  process->Start();
  Control(*worker,
          R"({"guard":")" + process->Address("target").value_ + R"("})");
  workers_.push_back(std::move(worker));
  guards_.push_back(std::move(process));
}

void
gpPlatformCluster::RestartGuard(std::size_t aIndex)
{
  gpTestProcess& guard = *guards_[aIndex];
  guard.Kill();
  guard.Start();
  Control(*workers_[aIndex],
          R"({"guard":")" + guard.Address("target").value_ + R"("})");
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
  // The news of the targets follow on the links; a job is refused until then.
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
                          const std::string& aSpecEnd)
{
  gpHttpRequest request;
  request.method_ = "POST";
  request.target_ = "/hold/" + aJob;
  request.headers_ = { { "host", "ponds" },
                       { "content-type", "application/json" } };
  const std::string spec =
    R"({"run_ms":)" + std::to_string(aRunTime.count()) + aSpecEnd + "}";
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

#include <iostream>

#include "gpDaemonOptions.h"
#include "gpEntryProcess.h"
#include "gpLeaseEntryProcess.h"
#include "gpLeaseSettingsFile.h"
#include "gpPlatformJobs.h"
#include "gpPlatformStore.h"
#include "gpRunLeaseProcess.h"
#include "gpSettingsFile.h"

namespace {

/// Runs an entry for best-effort jobs on the customer's platform.
int
RunOnPlatform(const std::string& aFile, const std::string& aText)
{
  const auto settings = gpParseLeaseSettings(aFile, aText, gpRole::Entry);
  if (!settings.ok()) {
    std::cerr << gpErrorText(settings.status()) << "\n";
    return kExitUsage;
  }
  gpLeaseEntryProcess process(
    *settings,
    std::make_unique<gpPlatformJobs>(),
    [&settings](gpHttpClient& aClient) {
      return std::make_unique<gpPlatformStore>(
        aClient, settings->store_, settings->storePartitions_);
    });
  return gpRunLeaseProcess(process, "gypsumpoint-entry", aFile, aText);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const gpDaemonOptions options =
    gpDaemonOptions::Parse(aCount,
                           aArguments,
                           "gypsumpoint-entry",
                           "accepts jobs from callers and sends their tasks to "
                           "guards");
  if (options.exit_) {
    return options.exitCode_;
  }
  std::string text;
  if (!gpReadFile(options.configFile_, text)) {
    return kExitUsage;
  }
  if (gpIsLeaseSettings(text)) {
    return RunOnPlatform(options.configFile_, text);
  }
  const auto settings = gpParseEntrySettings(options.configFile_, text);
  if (!settings.ok()) {
    std::cerr << gpErrorText(settings.status()) << "\n";
    return kExitUsage;
  }
  gpEntryProcess process(*settings);
  const absl::Status status = process.Open();
  if (!status.ok()) {
    std::cerr << "gypsumpoint-entry: " << gpErrorText(status) << "\n";
    return kExitFailure;
  }
  process.Run();
  return kExitOk;
}

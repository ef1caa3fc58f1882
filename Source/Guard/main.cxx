#include <iostream>

#include "gpDaemonOptions.h"
#include "gpGuardProcess.h"
#include "gpLeaseGuardProcess.h"
#include "gpLeaseSettingsFile.h"
#include "gpPlatformHeartbeat.h"
#include "gpPlatformStore.h"
#include "gpPlatformTarget.h"
#include "gpRunLeaseProcess.h"
#include "gpSettingsFile.h"

namespace {

/// Runs a guard for best-effort jobs on the customer's platform.
int
RunOnPlatform(const std::string& aFile, const std::string& aText)
{
  const auto settings = gpParseLeaseSettings(aFile, aText, gpRole::Guard);
  if (!settings.ok()) {
    std::cerr << gpErrorText(settings.status()) << "\n";
    return kExitUsage;
  }
  gpLeaseGuardProcess process(
    *settings,
    std::make_unique<gpPlatformHeartbeat>(),
    [&settings](gpHttpClient& aClient) {
      return std::make_unique<gpPlatformTarget>(aClient, settings->target_);
    },
    [&settings](gpHttpClient& aClient) {
      return std::make_unique<gpPlatformStore>(
        aClient, settings->store_, settings->storePartitions_);
    });
  return gpRunLeaseProcess(process, "gypsumpoint-guard", aFile, aText);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const gpDaemonOptions options =
    gpDaemonOptions::Parse(aCount,
                           aArguments,
                           "gypsumpoint-guard",
                           "starts tasks at the target beside it and stores "
                           "claims");
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
  const auto settings = gpParseGuardSettings(options.configFile_, text);
  if (!settings.ok()) {
    std::cerr << gpErrorText(settings.status()) << "\n";
    return kExitUsage;
  }
  gpGuardProcess process(*settings);
  const absl::Status status = process.Open();
  if (!status.ok()) {
    std::cerr << "gypsumpoint-guard: " << gpErrorText(status) << "\n";
    return kExitFailure;
  }
  process.Run();
  return kExitOk;
}

#include <iostream>

#include "gpDaemonOptions.h"
#include "gpGuardProcess.h"
#include "gpSettingsFile.h"

int
main(int aCount, char** aArguments)
{
  const gpDaemonOptions options =
    gpDaemonOptions::Parse(aCount,
                           aArguments,
                           "gypsumpoint-guard",
                           "admits tasks to the target beside it and holds "
                           "claims");
  if (options.exit_) {
    return options.exitCode_;
  }
  std::string text;
  if (!gpReadFile(options.configFile_, text)) {
    return kExitUsage;
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

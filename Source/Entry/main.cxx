#include <iostream>

#include "gpDaemonOptions.h"
#include "gpEntryProcess.h"
#include "gpSettingsFile.h"

int
main(int aCount, char** aArguments)
{
  const gpDaemonOptions options =
    gpDaemonOptions::Parse(aCount,
                           aArguments,
                           "gypsumpoint-entry",
                           "takes jobs of callers and sends their tasks to "
                           "guards");
  if (options.exit_) {
    return options.exitCode_;
  }
  std::string text;
  if (!gpReadFile(options.configFile_, text)) {
    return kExitUsage;
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

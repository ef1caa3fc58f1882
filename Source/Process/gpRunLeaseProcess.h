#pragma once

#include <iostream>
#include <string>

#include "gpDaemonOptions.h"
#include "gpError.h"

/// Opens an entry or guard for best-effort jobs, and runs it until it has shut
/// down. aText is the current content of the settings file aFile. Returns the
/// exit code.
template<typename Process>
int
gpRunLeaseProcess(Process& aProcess,
                  const char* aProgram,
                  const std::string& aFile,
                  const std::string& aText)
{
  const absl::Status status = aProcess.Open();
  if (!status.ok()) {
    std::cerr << aProgram << ": " << gpErrorText(status) << "\n";
    return kExitFailure;
  }
  aProcess.WatchSettings(aFile, aText);
  aProcess.Run();
  return kExitOk;
}

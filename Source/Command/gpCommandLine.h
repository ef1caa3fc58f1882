#pragma once

#include <string>
#include <vector>

#include "gpCommand.h"

/// Runs the program with its arguments, without argv[0]. Returns its exit code.
gpExitCode
gpRunCommandLine(const std::vector<std::string>& aArguments,
                 gpConsole& aConsole);

#pragma once

#include <string>
#include <vector>

#include "gpCommand.h"

/// Runs the program with the arguments that follow its name.
gpExitCode
gpRunCommandLine(const std::vector<std::string>& aArguments,
                 gpConsole& aConsole);

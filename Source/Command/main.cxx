#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "gpCommandLine.h"

int
main(int aCount, char** aArguments)
{
  try {
    const std::vector<std::string> arguments(aArguments + 1,
                                             aArguments + aCount);
    gpConsole console{ std::cout, std::cerr };
    return static_cast<int>(gpRunCommandLine(arguments, console));
  } catch (const std::exception& error) {
    std::cerr << "gypsumpoint: internal error: " << error.what() << "\n";
    return static_cast<int>(gpExitCode::Failure);
  }
}

#pragma once

#include "gpCommand.h"

/** \class gpStatusCommand
 * \brief Prints the status of processes, and compares the versions of the
 * configuration that they have in force.
 */
class gpStatusCommand : public gpCommand
{
public:
  std::string GetName() const override { return "status"; }
  std::string GetSummary() const override
  {
    return "Print the configuration version in force at each process";
  }
  std::string GetUsage() const override
  {
    return "--at IP:PORT [--at IP:PORT...]";
  }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

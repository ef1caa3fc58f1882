#pragma once

#include "gpCommand.h"

/** \class gpShowCommand
 * \brief Prints the configuration in force.
 */
class gpShowCommand : public gpCommand
{
public:
  std::string GetName() const override { return "show"; }
  std::string GetSummary() const override
  {
    return "Print the configuration in force according to the log";
  }
  std::string GetUsage() const override { return "--log IP:PORT"; }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

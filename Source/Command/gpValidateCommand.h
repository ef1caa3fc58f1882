#pragma once

#include "gpCommand.h"

/** \class gpValidateCommand
 * \brief Checks a configuration file without reading the log.
 */
class gpValidateCommand : public gpCommand
{
public:
  std::string GetName() const override { return "validate"; }
  std::string GetSummary() const override
  {
    return "Check a configuration file and list all its errors";
  }
  std::string GetUsage() const override { return "FILE"; }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

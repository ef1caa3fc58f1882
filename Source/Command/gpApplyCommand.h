#pragma once

#include "gpCommand.h"

/** \class gpApplyCommand
 * \brief Puts a configuration file in force by appending it to the log.
 */
class gpApplyCommand : public gpCommand
{
public:
  std::string GetName() const override { return "apply"; }
  std::string GetSummary() const override
  {
    return "Put a configuration file in force";
  }
  std::string GetUsage() const override
  {
    return "FILE --log IP:PORT [--base N]";
  }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

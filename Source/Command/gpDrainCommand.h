#pragma once

#include "gpCommand.h"

/** \class gpDrainCommand
 * \brief Adds a drain to the configuration in force, or removes one.
 */
class gpDrainCommand : public gpCommand
{
public:
  std::string GetName() const override { return "drain"; }
  std::string GetSummary() const override
  {
    return "Stop new tasks from being sent to a guard's target";
  }
  std::string GetUsage() const override
  {
    return "GUARD_IP:PORT --log IP:PORT [--undo]";
  }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

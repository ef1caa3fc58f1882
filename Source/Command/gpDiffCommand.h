#pragma once

#include "gpCommand.h"

/** \class gpDiffCommand
 * \brief Compares the configuration in force with a file.
 */
class gpDiffCommand : public gpCommand
{
public:
  std::string GetName() const override { return "diff"; }
  std::string GetSummary() const override
  {
    return "List the changes that applying a file would make";
  }
  std::string GetUsage() const override { return "FILE --log IP:PORT"; }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

#pragma once

#include "gpCommand.h"

/** \class gpJobCommand
 * \brief Requests the answer of a job from an entry.
 */
class gpJobCommand : public gpCommand
{
public:
  std::string GetName() const override { return "job"; }
  std::string GetSummary() const override
  {
    return "Print the answer of a job that was submitted with a key";
  }
  std::string GetUsage() const override
  {
    return "SERVICE KEY --entry IP:PORT";
  }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

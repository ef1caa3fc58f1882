#pragma once

#include "gpCommand.h"

/** \class gpExplainCommand
 * \brief Tells from event logs what became of best-effort jobs: how many were
 * in time, late, refused or failed, for what reason, and what they waited for.
 */
class gpExplainCommand : public gpCommand
{
public:
  std::string GetName() const override { return "explain"; }
  std::string GetSummary() const override
  {
    return "Print what became of best-effort jobs, from event logs";
  }
  std::string GetUsage() const override
  {
    return "FILE... [--json FILE] [--charts PREFIX]";
  }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

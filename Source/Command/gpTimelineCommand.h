#pragma once

#include "gpCommand.h"

/** \class gpTimelineCommand
 * \brief Merges the event logs of several processes in causal order.
 */
class gpTimelineCommand : public gpCommand
{
public:
  std::string GetName() const override { return "timeline"; }
  std::string GetSummary() const override
  {
    return "Print the events of several processes in causal order";
  }
  std::string GetUsage() const override { return "FILE... [--job KEY]"; }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

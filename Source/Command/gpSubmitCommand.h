#pragma once

#include "gpCommand.h"

/** \class gpSubmitCommand
 * \brief Submits a job to an entry and prints the answer.
 */
class gpSubmitCommand : public gpCommand
{
public:
  std::string GetName() const override { return "submit"; }
  std::string GetSummary() const override
  {
    return "Submit a job and print its answer";
  }
  std::string GetUsage() const override
  {
    return "--entry IP:PORT --file JOB.json [--key KEY]";
  }
  void AddOptions(gpCommandOptions& aOptions) const override;
  gpExitCode Run(const Values& aValues, gpConsole& aConsole) const override;
};

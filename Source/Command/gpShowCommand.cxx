#include "gpShowCommand.h"

#include "gpConfigurationFile.h"
#include "gpLogOption.h"

void
gpShowCommand::AddOptions(gpCommandOptions& aOptions) const
{
  gpLogOption::AddTo(aOptions);
}

gpExitCode
gpShowCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  gpLogOption log(aValues);
  const absl::Status read = log.GetLog().ReadToEnd();
  if (!read.ok()) {
    return Fail(aConsole, read);
  }
  const gpVersionedConfiguration& inForce = log.GetLog().GetInForce();
  if (inForce.version_ == gpConfigVersion()) {
    return Fail(aConsole, "no configuration has been applied yet");
  }
  // To the error stream, so that the standard output is a configuration file
  // that can be edited and applied.
  aConsole.err_ << "version " << inForce.version_.value_ << ", apply ID "
                << inForce.applyId_.value_ << "\n";
  aConsole.out_ << gpIndentJson(inForce.text_) << "\n";
  return gpExitCode::Success;
}

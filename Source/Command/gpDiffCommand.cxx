#include "gpDiffCommand.h"

#include "gpConfigurationArgument.h"
#include "gpConfigurationDiff.h"
#include "gpLogOption.h"

namespace {

std::string
LineOf(const gpConfigurationDifference& aDifference)
{
  if (!aDifference.before_) {
    return "+ " + aDifference.path_ + ": " + *aDifference.after_;
  }
  if (!aDifference.after_) {
    return "- " + aDifference.path_ + ": " + *aDifference.before_;
  }
  return "~ " + aDifference.path_ + ": " + *aDifference.before_ + " -> " +
         *aDifference.after_;
}

} // namespace

void
gpDiffCommand::AddOptions(gpCommandOptions& aOptions) const
{
  gpConfigurationArgument::AddTo(aOptions);
  gpLogOption::AddTo(aOptions);
}

gpExitCode
gpDiffCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  const auto file = gpConfigurationArgument::Read(aValues);
  if (!file.ok()) {
    return Fail(aConsole, file.status());
  }
  gpLogOption log(aValues);
  const absl::Status read = log.GetLog().ReadToEnd();
  if (!read.ok()) {
    return Fail(aConsole, read);
  }
  const gpVersionedConfiguration& inForce = log.GetLog().GetInForce();
  const auto differences = gpDiffConfigurations(inForce.configuration_, *file);
  aConsole.out_ << differences.size() << " differences from version "
                << inForce.version_.value_ << "\n";
  for (const gpConfigurationDifference& difference : differences) {
    aConsole.out_ << LineOf(difference) << "\n";
  }
  return gpExitCode::Success;
}

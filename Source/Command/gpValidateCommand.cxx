#include "gpValidateCommand.h"

#include "gpConfigurationArgument.h"

void
gpValidateCommand::AddOptions(gpCommandOptions& aOptions) const
{
  gpConfigurationArgument::AddTo(aOptions);
}

gpExitCode
gpValidateCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  const auto file = gpConfigurationArgument::Read(aValues);
  if (!file.ok()) {
    return Fail(aConsole, file.status());
  }
  aConsole.out_ << "valid: " << file->services_.size() << " services, "
                << file->teams_.size() << " teams, " << file->drains_.size()
                << " drains\n";
  return gpExitCode::Success;
}

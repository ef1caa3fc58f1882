#include "gpDrainCommand.h"

#include "gpError.h"
#include "gpLogOption.h"

namespace {

namespace po = boost::program_options;

// Adds or removes a drain. Returns whether this changed the configuration.
bool
SetDrain(gpConfiguration& aConfiguration, const gpDrain& aDrain, bool aUndo)
{
  if (aUndo) {
    return aConfiguration.drains_.erase(aDrain) > 0;
  }
  return aConfiguration.drains_.insert(aDrain).second;
}

} // namespace

void
gpDrainCommand::AddOptions(gpCommandOptions& aOptions) const
{
  aOptions.unnamed_.add_options()("guard", po::value<gpAddress>()->required());
  aOptions.positions_.add("guard", 1);
  gpLogOption::AddTo(aOptions);
  aOptions.named_.add_options()(
    "undo", po::bool_switch(), "remove the drain; the target gets tasks again");
}

gpExitCode
gpDrainCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  gpLogOption log(aValues);
  const absl::Status read = log.GetLog().ReadToEnd();
  if (!read.ok()) {
    return Fail(aConsole, "nothing was written: " + gpErrorText(read));
  }
  const gpVersionedConfiguration inForce = log.GetLog().GetInForce();
  if (inForce.version_ == gpConfigVersion()) {
    return Fail(aConsole, "no configuration has been applied yet");
  }
  const gpDrain drain{ aValues["guard"].as<gpAddress>() };
  gpConfiguration file = inForce.configuration_;
  if (!SetDrain(file, drain, aValues["undo"].as<bool>())) {
    aConsole.out_ << "nothing to change in version " << inForce.version_.value_
                  << "\n";
    return gpExitCode::Success;
  }
  const auto applied = log.Apply(file, inForce.version_);
  if (!applied.ok()) {
    return Fail(aConsole, applied.status());
  }
  aConsole.out_ << *applied << "\n";
  return gpExitCode::Success;
}

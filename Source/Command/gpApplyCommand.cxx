#include "gpApplyCommand.h"

#include "gpConfigurationArgument.h"
#include "gpLogOption.h"

namespace {

namespace po = boost::program_options;

std::optional<gpConfigVersion>
BaseOf(const gpCommand::Values& aValues)
{
  if (aValues.count("base") == 0) {
    return std::nullopt;
  }
  return gpConfigVersion(aValues["base"].as<std::uint64_t>());
}

} // namespace

void
gpApplyCommand::AddOptions(gpCommandOptions& aOptions) const
{
  gpConfigurationArgument::AddTo(aOptions);
  gpLogOption::AddTo(aOptions);
  aOptions.named_.add_options()(
    "base",
    po::value<std::uint64_t>()->value_name("N"),
    "version that the file is based on; default: the version in force");
}

gpExitCode
gpApplyCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  const auto file = gpConfigurationArgument::Read(aValues);
  if (!file.ok()) {
    return Fail(aConsole, file.status());
  }
  gpLogOption log(aValues);
  const auto applied = log.Apply(*file, BaseOf(aValues));
  if (!applied.ok()) {
    return Fail(aConsole, applied.status());
  }
  aConsole.out_ << *applied << "\n";
  return gpExitCode::Success;
}

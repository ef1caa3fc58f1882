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
    "version that the file was made from; the one in force if left out");
}

gpExitCode
gpApplyCommand::Run(const Values& aValues, gpConsole& aConsole) const
{
  const auto file = gpConfigurationArgument::Read(aValues);
  if (!file.ok()) {
    return Fail(aConsole, file.status());
  }
  gpLogOption log(aValues);
  const gpApplyId applyId = gpDrawApplyId();
  const gpApplyResult result =
    log.GetLog().Apply(*file, applyId, BaseOf(aValues));
  const std::string text = gpApplyText(result, applyId);
  if (result.end_ != gpApplyEnd::Applied) {
    return Fail(aConsole, text);
  }
  aConsole.out_ << text << "\n";
  return gpExitCode::Success;
}

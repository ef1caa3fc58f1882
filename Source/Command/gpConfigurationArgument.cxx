#include "gpConfigurationArgument.h"

#include "gpConfigurationFile.h"

namespace {

constexpr const char* kArgument = "file";

} // namespace

void
gpConfigurationArgument::AddTo(gpCommandOptions& aOptions)
{
  aOptions.AddArgument(kArgument);
}

absl::StatusOr<gpConfiguration>
gpConfigurationArgument::Read(const gpCommand::Values& aValues)
{
  const auto& name = aValues[kArgument].as<std::string>();
  const absl::StatusOr<std::string> text = gpReadFile(name);
  if (!text.ok()) {
    return text.status();
  }
  absl::StatusOr<gpConfiguration> file = gpParseConfiguration(*text);
  if (!file.ok()) {
    return gpMakeError(gpErrorCode::BadConfiguration,
                       name + " is invalid:\n" + gpErrorText(file.status()));
  }
  return file;
}

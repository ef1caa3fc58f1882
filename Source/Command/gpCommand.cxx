#include "gpCommand.h"

#include <fstream>
#include <sstream>

#include "gpAddressText.h"
#include "gpError.h"

namespace po = boost::program_options;

void
gpCommandOptions::AddAddress(const char* aName, const char* aHelp)
{
  named_.add_options()(
    aName, po::value<gpAddress>()->required()->value_name("IP:PORT"), aHelp);
}

void
gpCommandOptions::AddArgument(const char* aName)
{
  unnamed_.add_options()(aName, po::value<std::string>()->required());
  positions_.add(aName, 1);
}

gpExitCode
gpCommand::Fail(gpConsole& aConsole, const std::string& aText) const
{
  aConsole.err_ << "gypsumpoint " << GetName() << ": " << aText << "\n";
  return gpExitCode::Failure;
}

gpExitCode
gpCommand::Fail(gpConsole& aConsole, const absl::Status& aStatus) const
{
  return Fail(aConsole, gpErrorText(aStatus));
}

void
validate(boost::any& aTarget,
         const std::vector<std::string>& aTexts,
         gpAddress* /*aType*/,
         int /*aUnused*/)
{
  po::validators::check_first_occurrence(aTarget);
  const std::string& text = po::validators::get_single_string(aTexts);
  if (!gpIsAddress(text, gpPortRule::NonZero)) {
    throw po::validation_error(
      po::validation_error::invalid_option_value, "", text);
  }
  aTarget = gpAddress(text);
}

absl::StatusOr<std::string>
gpReadFile(const std::string& aName)
{
  const std::ifstream file(aName, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    return gpMakeError(gpErrorCode::Io, aName + ": cannot read the file");
  }
  return text.str();
}

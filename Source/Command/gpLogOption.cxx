#include "gpLogOption.h"

#include <random>

#include "gpError.h"
#include "gpTimelineEvent.h"

namespace {

constexpr const char* kOption = "log";

std::string
Text(gpConfigVersion aVersion)
{
  return std::to_string(aVersion.value_);
}

std::string
InForceText(const gpApplyResult& aResult)
{
  if (aResult.inForce_ == gpConfigVersion()) {
    return "no version is in force";
  }
  return "version " + Text(aResult.inForce_) + " (apply ID " +
         aResult.inForceApply_.value_ + ") is in force";
}

std::string
AppliedText(const gpApplyResult& aResult)
{
  std::string text = "applied version " + Text(aResult.version_);
  if (aResult.inForce_ != aResult.version_) {
    text += "; since then " + InForceText(aResult);
  }
  return text;
}

} // namespace

void
gpLogOption::AddTo(gpCommandOptions& aOptions)
{
  aOptions.AddAddress(kOption, "address of the log service");
}

gpLogOption::gpLogOption(const gpCommand::Values& aValues)
  : access_(network_, aValues[kOption].as<gpAddress>())
  , configurationLog_(access_)
{
}

gpApplyId
gpDrawApplyId()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw;
  return gpApplyId(gpIncarnationText(gpIncarnation(draw(device))) +
                   gpIncarnationText(gpIncarnation(draw(device))));
}

std::string
gpApplyText(const gpApplyResult& aResult, const gpApplyId& aApplyId)
{
  const std::string why = gpErrorText(aResult.why_);
  switch (aResult.end_) {
    case gpApplyEnd::Applied:
      return AppliedText(aResult);
    case gpApplyEnd::Conflict:
      return "conflict: " + why + "; nothing was changed, " +
             InForceText(aResult);
    case gpApplyEnd::Rejected:
      return "rejected: " + why + "; nothing was changed, " +
             InForceText(aResult);
    case gpApplyEnd::NotWritten:
      return "nothing was written: " + why;
    case gpApplyEnd::Unknown:
      break;
  }
  return "it can't be said whether the file was or will be applied: " + why +
         "\nlook for apply ID " + aApplyId.value_ +
         " with 'show' before you try again";
}

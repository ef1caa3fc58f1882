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

gpApplyId
MakeRandomApplyId()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw;
  return gpApplyId(gpIncarnationText(gpIncarnation(draw(device))) +
                   gpIncarnationText(gpIncarnation(draw(device))));
}

std::string
Describe(const gpApplyResult& aResult, const gpApplyId& aApplyId)
{
  const std::string why = gpErrorText(aResult.error_);
  switch (aResult.outcome_) {
    case gpApplyOutcome::Applied:
      return AppliedText(aResult);
    case gpApplyOutcome::Conflict:
      return "conflict: " + why + "; nothing was changed, " +
             InForceText(aResult);
    case gpApplyOutcome::Rejected:
      return "rejected: " + why + "; nothing was changed, " +
             InForceText(aResult);
    case gpApplyOutcome::NotWritten:
      return "nothing was written: " + why;
    case gpApplyOutcome::Unknown:
      break;
  }
  return "it is unknown whether the file was applied or will be: " + why +
         "\ncheck with 'show' whether apply ID " + aApplyId.value_ +
         " is in force before applying the file again";
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

absl::StatusOr<std::string>
gpLogOption::Apply(const gpConfiguration& aFile,
                   std::optional<gpConfigVersion> aBase)
{
  const gpApplyId applyId = MakeRandomApplyId();
  const gpApplyResult result = configurationLog_.Apply(aFile, applyId, aBase);
  const std::string text = Describe(result, applyId);
  if (result.outcome_ != gpApplyOutcome::Applied) {
    return gpMakeError(gpErrorCodeOf(result.error_), text);
  }
  return text;
}

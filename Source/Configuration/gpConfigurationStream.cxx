#include "gpConfigurationStream.h"

#include <array>

#include "gpConfigurationFile.h"

namespace {

constexpr std::array<std::string_view, 7> kVerdictNames = {
  "accepted",      "taken_over", "repeated",   "conflict",
  "wrong_version", "bad_file",   "bad_record",
};

// The verdict on an apply, with an error if it is rejected.
struct Judgement
{
  gpConfigurationVerdict verdict_ = gpConfigurationVerdict::Accepted;
  absl::Status error_;
};

std::string
Text(gpConfigVersion aVersion)
{
  return std::to_string(aVersion.value_);
}

// Depends only on the record and the state: a reader that started from a
// checkpoint has nothing else, and must reach the same verdict as all others.
Judgement
Judge(const gpVersionedConfiguration& aState, const gpApplyRecord& aApply)
{
  if (aApply.applyId_ == aState.applyId_) {
    return { gpConfigurationVerdict::Repeated, absl::OkStatus() };
  }
  if (aApply.base_ != aState.version_) {
    return { gpConfigurationVerdict::Conflict,
             gpMakeError(gpErrorCode::VersionConflict,
                         "made from version " + Text(aApply.base_) +
                           ", but version " + Text(aState.version_) +
                           " was in force") };
  }
  if (aApply.version_.value_ != aApply.base_.value_ + 1) {
    return { gpConfigurationVerdict::WrongVersion,
             gpMakeError(gpErrorCode::BadRecord,
                         "version " + Text(aApply.version_) +
                           " isn't one more than base " + Text(aApply.base_)) };
  }
  if (!aApply.file_.ok()) {
    return { gpConfigurationVerdict::BadFile, aApply.file_.status() };
  }
  return {};
}

} // namespace

std::string_view
gpVerdictName(gpConfigurationVerdict aVerdict)
{
  return kVerdictNames.at(static_cast<std::size_t>(aVerdict));
}

gpConfigurationStream::gpConfigurationStream(Handler aHandler)
  : handler_(std::move(aHandler))
{
}

absl::StatusOr<bool>
gpConfigurationStream::Adopt(const gpConfigurationUpdate& aUpdate)
{
  const gpConfigVersion mine = GetState().version_;
  if (aUpdate.version_ < mine || (aUpdate.version_ == mine && IsCurrent())) {
    return false;
  }
  absl::StatusOr<gpConfiguration> file = gpParseConfiguration(aUpdate.text_);
  if (!file.ok()) {
    return file.status();
  }
  std::string text = gpRenderConfiguration(*file);
  return TryReplaceState(
    { aUpdate.version_, *std::move(file), std::move(text), aUpdate.applyId_ },
    aUpdate.asOf_);
}

std::optional<gpConfigurationUpdate>
gpConfigurationStream::MakeUpdate() const
{
  const gpVersionedConfiguration& state = GetState();
  const auto asOf = AsOf();
  if (state.version_ == gpConfigVersion() || !asOf) {
    return std::nullopt;
  }
  return gpConfigurationUpdate{
    state.version_, state.applyId_, *asOf, state.text_
  };
}

absl::StatusOr<gpConfigurationStream::Record>
gpConfigurationStream::Parse(const std::string& aData) const
{
  return gpParseConfigurationRecord(aData);
}

std::uint64_t
gpConfigurationStream::ProgressOf(const gpVersionedConfiguration& aState) const
{
  return aState.version_.value_;
}

void
gpConfigurationStream::Apply(gpVersionedConfiguration& aState,
                             const gpApplyRecord& aApply,
                             gpLogOffset aOffset)
{
  Judgement judgement = Judge(aState, aApply);
  if (judgement.verdict_ == gpConfigurationVerdict::Accepted) {
    aState.version_ = aApply.version_;
    aState.configuration_ = *aApply.file_;
    aState.text_ = gpRenderConfiguration(*aApply.file_);
    aState.applyId_ = aApply.applyId_;
  }
  handler_({ judgement.verdict_,
             aOffset,
             aApply.applyId_,
             aApply.version_,
             aState.version_,
             std::move(judgement.error_) });
}

void
gpConfigurationStream::OnStateReplaced(const gpVersionedConfiguration& aState,
                                       gpLogOffset aAsOf)
{
  handler_({ gpConfigurationVerdict::TakenOver,
             aAsOf,
             aState.applyId_,
             aState.version_,
             aState.version_,
             absl::OkStatus() });
}

void
gpConfigurationStream::OnBadRecord(gpLogOffset aOffset,
                                   const absl::Status& aError)
{
  handler_({ gpConfigurationVerdict::BadRecord,
             aOffset,
             gpApplyId(),
             gpConfigVersion(),
             GetState().version_,
             aError });
}

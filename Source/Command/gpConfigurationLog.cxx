#include "gpConfigurationLog.h"

#include "gpError.h"

namespace {

constexpr int kMaxAttempts = 4;
constexpr gpMillis kRetryDelay{ 300 };

// TakenOver counts as acceptance, because a state that was taken over has the
// ID of the apply that put it in force.
bool
IsAcceptance(gpConfigurationVerdict aVerdict)
{
  return aVerdict == gpConfigurationVerdict::Accepted ||
         aVerdict == gpConfigurationVerdict::TakenOver;
}

std::string
Text(gpConfigVersion aVersion)
{
  return std::to_string(aVersion.value_);
}

} // namespace

gpConfigurationLog::gpConfigurationLog(gpLogAccess& aLog)
  : log_(aLog)
  , stream_([this](const gpConfigurationEvent& aEvent) { OnEvent(aEvent); })
{
}

void
gpConfigurationLog::OnEvent(const gpConfigurationEvent& aEvent)
{
  if (IsAcceptance(aEvent.verdict_)) {
    verdicts_.insert_or_assign(aEvent.applyId_, aEvent);
  } else {
    verdicts_.emplace(aEvent.applyId_, aEvent);
  }
}

absl::Status
gpConfigurationLog::ReadBatch(gpLogOffset& aEnd)
{
  const absl::StatusOr<gpLogBatch> batch = log_.Read(stream_.NextOffset());
  if (!batch.ok()) {
    return gpMakeError(gpErrorCodeOf(batch.status()),
                       "cannot read from the log service: " +
                         gpErrorText(batch.status()));
  }
  stream_.SetEarliest(batch->earliest_);
  for (const gpLogRecord& record : batch->records_) {
    stream_.Fold(record.offset_, record.data_);
  }
  if (batch->records_.empty() && stream_.NextOffset() < batch->next_) {
    return gpMakeError(gpErrorCode::LogUnavailable,
                       "the log service returned no records, although the "
                       "end of the log hasn't been reached");
  }
  aEnd = batch->next_;
  return absl::OkStatus();
}

absl::Status
gpConfigurationLog::ReadToEnd()
{
  gpLogOffset end;
  do {
    absl::Status status = ReadBatch(end);
    if (!status.ok()) {
      return status;
    }
  } while (stream_.NextOffset() < end);
  if (!stream_.IsCurrent()) {
    return gpMakeError(gpErrorCode::NotFound,
                       "the log no longer holds the version in force: its "
                       "first records were deleted, and it has no checkpoint "
                       "that replaces them");
  }
  return absl::OkStatus();
}

const gpVersionedConfiguration&
gpConfigurationLog::GetInForce() const
{
  return stream_.GetState();
}

gpApplyResult
gpConfigurationLog::MakeResult(gpApplyOutcome aOutcome,
                               absl::Status aError) const
{
  const gpVersionedConfiguration& state = GetInForce();
  return { aOutcome,
           gpConfigVersion(),
           state.version_,
           state.applyId_,
           std::move(aError) };
}

gpApplyResult
gpConfigurationLog::Apply(const gpConfiguration& aFile,
                          const gpApplyId& aApplyId,
                          std::optional<gpConfigVersion> aBase)
{
  const absl::Status read = ReadToEnd();
  if (!read.ok()) {
    return MakeResult(gpApplyOutcome::NotWritten, read);
  }
  const gpConfigVersion inForce = GetInForce().version_;
  const gpConfigVersion base = aBase.value_or(inForce);
  if (base != inForce) {
    return MakeResult(gpApplyOutcome::Conflict,
                      gpMakeError(gpErrorCode::VersionConflict,
                                  "made from version " + Text(base) +
                                    ", but version " + Text(inForce) +
                                    " was in force"));
  }
  return AppendAndConfirm(gpRenderApply(base, aApplyId, aFile), aApplyId);
}

gpApplyResult
gpConfigurationLog::AppendAndConfirm(const std::string& aRecord,
                                     const gpApplyId& aApplyId)
{
  // The outcome if no verdict on the record is found.
  gpApplyOutcome unconfirmed = gpApplyOutcome::NotWritten;
  absl::StatusOr<gpLogOffset> appended;
  absl::Status read;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    if (attempt > 1) {
      log_.Pause(kRetryDelay);
    }
    if (!appended.ok()) {
      appended = log_.Append(aRecord);
    }
    // Only a refused connection proves that the request was not sent.
    if (gpErrorCodeOf(appended.status()) != gpErrorCode::ConnectRefused) {
      unconfirmed = gpApplyOutcome::Unknown;
    }
    read = ReadToEnd();
    if (auto verdict = FindVerdict(aApplyId)) {
      return *std::move(verdict);
    }
  }
  return MakeResult(unconfirmed, read.ok() ? appended.status() : read);
}

std::optional<gpApplyResult>
gpConfigurationLog::FindVerdict(const gpApplyId& aApplyId) const
{
  const auto found = verdicts_.find(aApplyId);
  if (found == verdicts_.end()) {
    return std::nullopt;
  }
  const gpConfigurationEvent& event = found->second;
  if (IsAcceptance(event.verdict_)) {
    gpApplyResult result =
      MakeResult(gpApplyOutcome::Applied, absl::OkStatus());
    result.version_ = event.version_;
    return result;
  }
  const bool isConflict = event.verdict_ == gpConfigurationVerdict::Conflict;
  return MakeResult(isConflict ? gpApplyOutcome::Conflict
                               : gpApplyOutcome::Rejected,
                    event.error_);
}

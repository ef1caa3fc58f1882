#include "gpError.h"

#include <array>
#include <utility>

#include <absl/strings/cord.h>

namespace {

constexpr const char* kPayloadUrl = "gypsumpoint/error-code";

struct ErrorEntry
{
  gpErrorCode code_;
  const char* name_;
  absl::StatusCode status_;
};

constexpr std::array kErrors = {
  ErrorEntry{ gpErrorCode::None, "none", absl::StatusCode::kOk },
  ErrorEntry{ gpErrorCode::BadArgument,
              "bad_argument",
              absl::StatusCode::kInvalidArgument },
  ErrorEntry{ gpErrorCode::BadSettings,
              "bad_settings",
              absl::StatusCode::kInvalidArgument },
  ErrorEntry{ gpErrorCode::BadConfiguration,
              "bad_configuration",
              absl::StatusCode::kInvalidArgument },
  ErrorEntry{ gpErrorCode::BadRequest,
              "bad_request",
              absl::StatusCode::kInvalidArgument },
  ErrorEntry{ gpErrorCode::Unsupported,
              "unsupported",
              absl::StatusCode::kUnimplemented },
  ErrorEntry{ gpErrorCode::BadFrame, "bad_frame", absl::StatusCode::kDataLoss },
  ErrorEntry{ gpErrorCode::BadRecord,
              "bad_record",
              absl::StatusCode::kDataLoss },
  ErrorEntry{ gpErrorCode::FrameTooLarge,
              "frame_too_large",
              absl::StatusCode::kResourceExhausted },
  ErrorEntry{ gpErrorCode::FrameOutOfOrder,
              "frame_out_of_order",
              absl::StatusCode::kDataLoss },
  ErrorEntry{ gpErrorCode::ProtocolMismatch,
              "protocol_mismatch",
              absl::StatusCode::kFailedPrecondition },
  ErrorEntry{ gpErrorCode::ReplayedLink,
              "replayed_link",
              absl::StatusCode::kFailedPrecondition },
  ErrorEntry{ gpErrorCode::ConnectRefused,
              "connect_refused",
              absl::StatusCode::kUnavailable },
  ErrorEntry{ gpErrorCode::ConnectTimeout,
              "connect_timeout",
              absl::StatusCode::kDeadlineExceeded },
  ErrorEntry{ gpErrorCode::LinkClosed,
              "link_closed",
              absl::StatusCode::kUnavailable },
  ErrorEntry{ gpErrorCode::LinkSilent,
              "link_silent",
              absl::StatusCode::kDeadlineExceeded },
  ErrorEntry{ gpErrorCode::SendBufferFull,
              "send_buffer_full",
              absl::StatusCode::kResourceExhausted },
  ErrorEntry{ gpErrorCode::LinkMemoryFull,
              "link_memory_full",
              absl::StatusCode::kResourceExhausted },
  ErrorEntry{ gpErrorCode::HttpFailure,
              "http_failure",
              absl::StatusCode::kUnavailable },
  ErrorEntry{ gpErrorCode::HttpTimeout,
              "http_timeout",
              absl::StatusCode::kDeadlineExceeded },
  ErrorEntry{ gpErrorCode::LogUnavailable,
              "log_unavailable",
              absl::StatusCode::kUnavailable },
  ErrorEntry{ gpErrorCode::VersionConflict,
              "version_conflict",
              absl::StatusCode::kAborted },
  ErrorEntry{ gpErrorCode::NotFound, "not_found", absl::StatusCode::kNotFound },
  ErrorEntry{ gpErrorCode::Io, "io", absl::StatusCode::kUnavailable },
  ErrorEntry{ gpErrorCode::Internal, "internal", absl::StatusCode::kInternal },
};

const ErrorEntry&
EntryOf(gpErrorCode aCode)
{
  return kErrors.at(static_cast<std::size_t>(aCode));
}

} // namespace

std::string_view
gpErrorName(gpErrorCode aCode)
{
  return EntryOf(aCode).name_;
}

absl::Status
gpMakeError(gpErrorCode aCode, const std::string& aDetail)
{
  const ErrorEntry& entry = EntryOf(aCode);
  absl::Status status(entry.status_, aDetail);
  status.SetPayload(kPayloadUrl, absl::Cord(entry.name_));
  return status;
}

gpErrorCode
gpErrorCodeOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return gpErrorCode::None;
  }
  const auto payload = aStatus.GetPayload(kPayloadUrl);
  if (!payload.has_value()) {
    return gpErrorCode::Internal;
  }
  for (const ErrorEntry& entry : kErrors) {
    if (*payload == entry.name_) {
      return entry.code_;
    }
  }
  return gpErrorCode::Internal;
}

std::string
gpErrorText(const absl::Status& aStatus)
{
  return std::string(aStatus.message().data(), aStatus.message().size());
}
